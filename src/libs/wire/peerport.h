// Interfaces for sending messages to other daemons and for receiving them.
#pragma once

#include "messages.h"

#include <base/ids.h>

namespace Wire {

/// Identity of the daemon that sent a message.
struct PeerIdentity
{
    Base::DaemonId daemon;
    Base::FailureDomainId domain;
    Base::Incarnation incarnation;
};

class PeerPort
{
public:
    virtual ~PeerPort() = default;

    /// Queues \a message for \a peer. Messages may be lost but are never altered; between two
    /// losses they arrive in order. Returns false if there is no connection or its send queue is
    /// full; the message is then certainly not sent.
    virtual bool send(const Base::DaemonId &peer, const Message &message) = 0;
    /// Whether a connection to \a peer is up.
    virtual bool isConnected(const Base::DaemonId &peer) const = 0;
    /// Replaces the connection to a peer when messages sent on it do not arrive.
    virtual void resetConnection(const Base::DaemonId &) {}
};

/// Receives messages of one or more types.
class PeerListener
{
public:
    virtual ~PeerListener() = default;

    virtual void peerMessageReceived(const PeerIdentity &from, const Message &message) = 0;
    /// From now on messages can be sent to the peer. Earlier ones may have been lost.
    virtual void peerConnected(const PeerIdentity &) {}
    virtual void peerDisconnected(const PeerIdentity &) {}
};

} // namespace Wire
