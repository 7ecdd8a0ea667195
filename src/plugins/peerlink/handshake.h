// Authentication of a peer connection: each side proves that it knows the deployment's shared key
// with an HMAC over both nonces. This protects against unknown clients and misconfigured daemons,
// but not against an attacker who can alter packets on the network between the hosts.
#pragma once

#include <wire/messages.h>

#include <string>
#include <string_view>

namespace PeerLink {

enum class HandshakeRole { Dialer, Acceptor };

/// Returns 16 random bytes in hex.
std::string makeNonce();

/// Returns the proof that the side with \a role sends. \a dialer and \a acceptor are the first
/// hello messages of the two sides.
std::string makeProof(std::string_view key, HandshakeRole role, const Wire::Hello &dialer,
                      const Wire::Hello &acceptor);

/// Compares in constant time.
bool isSameProof(std::string_view a, std::string_view b);

} // namespace PeerLink
