// Which list of registered executors an owner of groups uses. Executors may shrink or change their
// kind at any time, and tell only the store. An owner that the store turns away asks a peer that
// has read something else since. While no peer has, as when the store is away for all, it goes on
// with what it knows: the executors of all groups would be idle otherwise.
#pragma once

#include "dispatchtypes.h"

#include <wire/messages.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Dispatch {

class RegistrationExchange
{
public:
    /// What a daemon has read: at \c asOf or later, the registrations had this digest.
    struct Read
    {
        std::uint64_t digest = 0;
        Base::TimePoint asOf;
    };

    explicit RegistrationExchange(Base::Timers &timers);

    /// The last read of this daemon. Returns true if its own list is used again after that of a
    /// peer.
    bool setOwn(const Read &read);
    void statementReceived(const Base::DaemonId &peer, const Read &read);
    /// The peer among \a reached to ask now for its registrations, if any.
    std::optional<Base::DaemonId> nextRequest(const std::set<Base::DaemonId> &reached);
    /// Returns whether the list of \a peer is used from now on.
    bool received(const Base::DaemonId &peer, const Wire::Registrations &message);
    /// \a own, with the executors of the peer's list for the failure domains that it covers.
    std::vector<ExecutorInfo> merge(const std::vector<ExecutorInfo> &own) const;

    bool usesPeer() const { return m_borrowed.has_value(); }
    const Read &own() const { return m_own; }

private:
    struct Borrowed
    {
        Base::DaemonId peer;
        Read read;
        std::set<Base::FailureDomainId> domains;
        std::vector<ExecutorInfo> executors;
    };

    const Read &used() const { return m_borrowed ? m_borrowed->read : m_own; }

    Base::Timers &m_timers;
    Read m_own{0, Base::TimePoint::max()};
    std::optional<Borrowed> m_borrowed; // newer than m_own
    std::map<Base::DaemonId, Read> m_statements;
    std::optional<Base::TimePoint> m_differsSince; // a peer has read something else
    Base::TimePoint m_lastRequest;
    Base::DaemonId m_lastAsked; // empty once it has answered
};

Wire::Registration encodeRegistration(const ExecutorInfo &executor);
ExecutorInfo decodeRegistration(const Wire::Registration &registration);

} // namespace Dispatch
