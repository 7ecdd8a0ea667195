// Authentication of a peer connection: both sides prove that they know the deployment's key by an
// HMAC over both nonces. It protects against strangers and misconfigured daemons, not against an
// attacker who can alter packets on the network between the hosts.
#pragma once

#include <wire/messages.h>

#include <string>
#include <string_view>

namespace PeerLink {

enum class HandshakeRole { Dialer, Acceptor };

/// 16 random bytes in hex.
std::string makeNonce();

/// The proof of the side \a role. The hellos are those that the two sides have sent first.
std::string makeProof(std::string_view key, HandshakeRole role, const Wire::Hello &dialer,
                      const Wire::Hello &acceptor);

/// Compares in constant time.
bool isSameProof(std::string_view a, std::string_view b);

} // namespace PeerLink
