// Timeouts and peer admission of the connections between daemons.
#pragma once

#include "peerlinkconstants.h"

#include <chrono>

namespace PeerLink {

struct LinkOptions
{
    std::chrono::milliseconds reconnectDelay = Constants::RECONNECT_DELAY_MS;
    std::chrono::milliseconds connectTimeout = Constants::CONNECT_TIMEOUT_MS;
    std::chrono::milliseconds idleTimeout = Constants::IDLE_TIMEOUT_MS;
    std::chrono::milliseconds writeTimeout = Constants::WRITE_TIMEOUT_MS;
    /// Accepts every daemon that proves knowledge of the peer key, for deployments whose daemons
    /// discover each other at run time.
    bool acceptUnlisted = false;
};

} // namespace PeerLink
