// Frame encoding on msgpack.
#include "codec.h"

#include "wireconstants.h"

#include <base/failure.h>

#include <array>
#include <cstdint>
#include <utility>

namespace Wire {

using Base::FailureCode;
using Base::makeFailure;

std::string encodeFrame(const Message &message)
{
    msgpack::sbuffer buf;
    buf.write("\0\0\0\0", Constants::FRAME_HEADER_BYTES);
    msgpack::packer<msgpack::sbuffer> packer(buf);
    packer.pack_array(2);
    packer.pack(static_cast<std::uint32_t>(message.index()));
    std::visit([&packer](const auto &m) { packer.pack(m); }, message);
    std::string frame(buf.data(), buf.size());
    const std::size_t n = frame.size() - Constants::FRAME_HEADER_BYTES;
    for (std::size_t i = 0; i < Constants::FRAME_HEADER_BYTES; ++i)
        frame[i] = static_cast<char>((n >> (8 * (Constants::FRAME_HEADER_BYTES - 1 - i))) & 0xff);
    return frame;
}

template<std::size_t Index = 0>
static bool convertMessage(std::uint32_t type, const msgpack::object &object, Message &message)
{
    if constexpr (Index < std::variant_size_v<Message>) {
        if (type != Index)
            return convertMessage<Index + 1>(type, object, message);
        object.convert(message.emplace<Index>());
        return true;
    }
    return false;
}

FrameDecoder::FrameDecoder(std::size_t maxFrameBytes)
    : m_maxFrameBytes(maxFrameBytes)
{}

void FrameDecoder::append(std::string_view bytes)
{
    if (m_offset == m_buffer.size()) {
        m_buffer.clear();
        m_offset = 0;
    } else if (m_offset > m_buffer.size() / 2) {
        m_buffer.erase(0, m_offset);
        m_offset = 0;
    }
    m_buffer.append(bytes);
}

static std::size_t frameLength(const char *header)
{
    std::size_t n = 0;
    for (std::size_t i = 0; i < Constants::FRAME_HEADER_BYTES; ++i)
        n = (n << 8) | static_cast<unsigned char>(header[i]);
    return n;
}

/// Stops the parser when a frame declares more items or deeper nesting than allowed, before
/// anything is allocated for them.
class ItemCounter : public msgpack::null_visitor
{
public:
    bool start_array(std::uint32_t n) { return add(n) && ++m_depth <= Constants::MAX_NESTING; }
    bool start_map(std::uint32_t n) { return add(2ULL * n) && ++m_depth <= Constants::MAX_NESTING; }
    bool end_array() { return --m_depth, true; }
    bool end_map() { return --m_depth, true; }

private:
    bool add(std::uint64_t n)
    {
        m_items += n;
        return m_items <= Constants::MAX_FRAME_ITEMS;
    }

    std::uint64_t m_items = 0;
    std::size_t m_depth = 0;
};

static absl::Status decodeMessage(const char *data, std::size_t size, Message &message)
{
    const msgpack::unpack_limit limit(Constants::MAX_CONTAINER_ITEMS,
                                      Constants::MAX_CONTAINER_ITEMS, size, size, size,
                                      Constants::MAX_NESTING);
    try {
        std::size_t offset = 0;
        ItemCounter counter;
        if (!msgpack::parse(data, size, offset, counter))
            return makeFailure(FailureCode::BadRequest, "frame is malformed or has too many items");
        offset = 0;
        const msgpack::object_handle handle =
            msgpack::unpack(data, size, offset, nullptr, nullptr, limit);
        if (offset != size)
            return makeFailure(FailureCode::BadRequest, "trailing bytes in frame");
        const msgpack::object &object = handle.get();
        if (object.type != msgpack::type::ARRAY || object.via.array.size != 2)
            return makeFailure(FailureCode::BadRequest, "frame is not a [type, message] array");
        const auto type = object.via.array.ptr[0].as<std::uint32_t>();
        if (!convertMessage(type, object.via.array.ptr[1], message))
            return makeFailure(FailureCode::BadRequest, "unknown message type");
        return absl::OkStatus();
    } catch (const std::exception &error) {
        return makeFailure(FailureCode::BadRequest, error.what());
    }
}

absl::Status FrameDecoder::next(std::optional<Message> &message)
{
    message.reset();
    const std::size_t available = m_buffer.size() - m_offset;
    if (available < Constants::FRAME_HEADER_BYTES)
        return absl::OkStatus();
    const char *frame = m_buffer.data() + m_offset;
    const std::size_t n = frameLength(frame);
    if (n > m_maxFrameBytes)
        return makeFailure(FailureCode::TooLarge, "frame exceeds the size limit");
    if (available < Constants::FRAME_HEADER_BYTES + n)
        return absl::OkStatus();
    Message decoded;
    const absl::Status status = decodeMessage(frame + Constants::FRAME_HEADER_BYTES, n, decoded);
    if (!status.ok())
        return status;
    m_offset += Constants::FRAME_HEADER_BYTES + n;
    message = std::move(decoded);
    return absl::OkStatus();
}

} // namespace Wire
