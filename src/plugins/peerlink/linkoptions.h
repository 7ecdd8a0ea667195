// Timing of the connections between daemons.
#pragma once

#include "peerlinkconstants.h"

#include <chrono>

namespace PeerLink {

struct LinkOptions
{
    std::chrono::milliseconds reconnect = Constants::RECONNECT_MS;
    std::chrono::milliseconds dialLimit = Constants::DIAL_LIMIT_MS;
    std::chrono::milliseconds silenceLimit = Constants::SILENCE_LIMIT_MS;
    std::chrono::milliseconds writeLimit = Constants::WRITE_LIMIT_MS;
    /// Accepts every daemon that proves to know the peer key, for deployments whose daemons find
    /// each other at run time.
    bool acceptUnlisted = false;
};

} // namespace PeerLink
