// Encodes messages as frames and decodes frames from a byte stream. A frame is a 4-byte big-endian
// length followed by a msgpack array [type, message].
#pragma once

#include "messages.h"

#include <absl/status/status.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Wire {

/// The frame of \a message, including its length prefix.
std::string encodeFrame(const Message &message);

/// Splits a byte stream into messages.
class FrameDecoder
{
public:
    /// Frames longer than \a maxFrameBytes are an error.
    explicit FrameDecoder(std::size_t maxFrameBytes);
    void setMaxFrameBytes(std::size_t maxFrameBytes) { m_maxFrameBytes = maxFrameBytes; }

    void append(std::string_view bytes);
    /// Extracts the next message into \a message, which is left empty if none is complete.
    /// Errors: tooLarge, badRequest. After an error the stream is unusable.
    absl::Status next(std::optional<Message> &message);

private:
    std::size_t m_maxFrameBytes;
    std::string m_buffer;
    std::size_t m_offset = 0; // bytes of m_buffer already decoded
};

} // namespace Wire
