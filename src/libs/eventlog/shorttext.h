// Text stored inline with a fixed capacity.
#pragma once

#include <base/hash.h>
#include <base/utf8.h>

#include <array>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>

namespace EventLog::Internal {

/// Holds up to \a Capacity bytes. A longer text is stored as its first bytes, '~' and the 16
/// hexadecimal digits of its stable hash, so that equal texts compare equal on every daemon.
template<std::size_t Capacity>
class ShortText
{
    static constexpr std::size_t HASH_DIGITS = 16;
    static_assert(Capacity > HASH_DIGITS + 1 && Capacity < 256);

public:
    ShortText() = default;
    explicit ShortText(std::string_view text) { assign(text); }

    void assign(std::string_view text)
    {
        if (text.size() <= Capacity) [[likely]] {
            std::memcpy(m_bytes.data(), text.data(), text.size());
            m_size = static_cast<std::uint8_t>(text.size());
            return;
        }
        // Truncates between characters; bytes that are not UTF-8 are copied unchanged.
        std::size_t n = 0;
        while (true) {
            const std::size_t step =
                std::max<std::size_t>(Base::utf8SequenceLength(text.substr(n)), 1);
            if (n + step > Capacity - HASH_DIGITS - 1)
                break;
            n += step;
        }
        std::memcpy(m_bytes.data(), text.data(), n);
        m_bytes[n++] = '~';
        const std::uint64_t hash = Base::stableHash(text);
        for (std::size_t i = 0; i < HASH_DIGITS; ++i)
            m_bytes[n++] = "0123456789abcdef"[(hash >> (4 * (HASH_DIGITS - 1 - i))) & 0xf];
        m_size = static_cast<std::uint8_t>(n);
    }

    void clear() { m_size = 0; }
    bool isEmpty() const { return m_size == 0; }
    std::string_view view() const { return {m_bytes.data(), m_size}; }
    std::string toString() const { return std::string(view()); }

    bool operator==(const ShortText &other) const { return view() == other.view(); }

private:
    std::array<char, Capacity> m_bytes; // only the first m_size bytes are initialised
    std::uint8_t m_size = 0;
};

} // namespace EventLog::Internal
