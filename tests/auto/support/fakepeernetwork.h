// Connections between simulated daemons: messages can be lost and delayed, links can be
// partitioned.
#pragma once

#include "manualtimers.h"

#include <wire/peerport.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace TestSupport {

class FakePeerPort;

class FakePeerNetwork
{
public:
    explicit FakePeerNetwork(ManualTimers &clockOfTest)
        : clock(clockOfTest)
    {}

    /// Partitions or restores the link in both directions.
    void setPartitioned(const Base::DaemonId &a, const Base::DaemonId &b, bool partitioned)
    {
        for (const auto &link : {std::pair(a, b), std::pair(b, a)}) {
            if (partitioned)
                m_partitioned.insert(link);
            else
                m_partitioned.erase(link);
        }
    }
    void restoreAll() { m_partitioned.clear(); }
    bool isPartitioned(const Base::DaemonId &a, const Base::DaemonId &b) const
    {
        return m_partitioned.contains({a, b});
    }

    ManualTimers &clock;
    /// Delay of the next message, or nothing if it is lost.
    std::function<std::optional<Base::Duration>()> chooseDelay;
    std::uint64_t messageCount = 0;

private:
    friend class FakePeerPort;
    std::map<Base::DaemonId, FakePeerPort *> m_ports;
    std::set<std::pair<Base::DaemonId, Base::DaemonId>> m_partitioned;
    std::map<std::pair<Base::DaemonId, Base::DaemonId>, Base::TimePoint> m_lastArrival;
};

/// The port of one run of a daemon. Messages to an earlier run of the receiver are lost.
class FakePeerPort : public Wire::PeerPort
{
public:
    FakePeerPort(FakePeerNetwork &network, Wire::PeerIdentity identity, Base::Timers &timers)
        : m_network(network)
        , m_identity(std::move(identity))
        , m_timers(timers)
    {
        m_network.m_ports[m_identity.daemon] = this;
    }
    ~FakePeerPort() override { m_network.m_ports.erase(m_identity.daemon); }

    void setListener(Wire::PeerListener *listener) { m_listener = listener; }

    bool isConnected(const Base::DaemonId &peer) const override
    {
        return m_network.m_ports.contains(peer)
               && !m_network.isPartitioned(m_identity.daemon, peer);
    }

    bool send(const Base::DaemonId &peer, const Wire::Message &message) override
    {
        if (!isConnected(peer))
            return false;
        ++m_network.messageCount;
        const std::optional<Base::Duration> delay =
            m_network.chooseDelay ? m_network.chooseDelay()
                                  : std::optional<Base::Duration>(std::chrono::microseconds(300));
        if (!delay)
            return true;
        const std::pair link(m_identity.daemon, peer);
        Base::TimePoint &last = m_network.m_lastArrival[link];
        last = std::max(last, m_network.clock.now() + *delay); // keeps the order
        const Base::Incarnation run = m_network.m_ports[peer]->m_identity.incarnation;
        m_network.clock.schedule(last - m_network.clock.now(),
                                 [network = &m_network, from = m_identity, peer, run, message] {
                                     const auto it = network->m_ports.find(peer);
                                     if (it != network->m_ports.end()
                                         && it->second->m_identity.incarnation == run
                                         && !network->isPartitioned(from.daemon, peer)) {
                                         it->second->receive(from, message);
                                     }
                                 });
        return true;
    }

private:
    void receive(const Wire::PeerIdentity &from, const Wire::Message &message)
    {
        m_timers.schedule(Base::Duration(0), [this, from, message] {
            if (m_listener)
                m_listener->peerMessageReceived(from, message);
        });
    }

    FakePeerNetwork &m_network;
    const Wire::PeerIdentity m_identity;
    Base::Timers &m_timers;
    Wire::PeerListener *m_listener = nullptr;
};

} // namespace TestSupport
