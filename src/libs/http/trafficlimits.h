// Limits of what all callers of a process together, and each of them, can make it hold.
#pragma once

#include <chrono>
#include <cstddef>

namespace Http {

/// The defaults suit a host of 1 GB. See docs/settings.md.
struct TrafficLimits
{
    std::size_t maxRequestBytes = 256U << 20;   // of all requests that are being read
    std::size_t maxConnectionBytes = 64U << 20; // of the request that a connection is sending
    std::size_t maxAnswerBytes = 64U << 20;     // of all answers that wait to be sent
    std::size_t receiveBufferBytes =
        0; // in the kernel, of each connection; 0: the system's default
    std::chrono::milliseconds headerTimeout{10'000}; // from the first byte of a header to its end
    std::chrono::milliseconds bodyTimeout{30'000};   // from the end of the header
    std::chrono::milliseconds idleTimeout{60'000};   // without an open request
    /// A connection that was answered this recently is not closed for a new one.
    std::chrono::milliseconds keptIdleTime{5'000};

    bool operator==(const TrafficLimits &) const = default;
};

} // namespace Http
