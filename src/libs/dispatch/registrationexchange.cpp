// Choice between the own list of executors and that of a peer.
#include "registrationexchange.h"

#include "dispatchconstants.h"

#include <base/log.h>

#include <algorithm>
#include <utility>

namespace Dispatch {

using Base::LogLevel;

RegistrationExchange::RegistrationExchange(Base::Timers &timers)
    : m_timers(timers)
{}

bool RegistrationExchange::setOwn(const Read &read)
{
    m_own = read;
    if (!m_borrowed || m_own.asOf < m_borrowed->read.asOf)
        return false;
    Base::log(LogLevel::Info, "registrationsReadAgain",
              {{"peer", m_borrowed->peer}, {"executors", m_borrowed->executors.size()}});
    m_borrowed.reset();
    return true;
}

void RegistrationExchange::statementReceived(const Base::DaemonId &peer, const Read &read)
{
    m_statements[peer] = read;
    if (m_borrowed && m_borrowed->read.digest == read.digest)
        m_borrowed->read.asOf = std::max(m_borrowed->read.asOf, read.asOf);
}

std::optional<Base::DaemonId>
RegistrationExchange::nextRequest(const std::set<Base::DaemonId> &reached)
{
    const Base::TimePoint now = m_timers.now();
    // Copies differ for a while after each change: a read that is due tells the same.
    if (m_own.asOf > now || now - m_own.asOf <= Constants::REGISTRATIONS_OUTDATED_MS) {
        m_differsSince.reset();
        return std::nullopt;
    }
    std::optional<Base::DaemonId> best;
    Base::TimePoint bestTime;
    for (const auto &[peer, read] : m_statements) {
        const bool isOther = read.asOf > used().asOf && read.digest != used().digest;
        if (!isOther || !reached.contains(peer))
            continue;
        // One that has not answered is asked again only if there is no other.
        const bool isBetter =
            !best || *best == m_lastAsked || (peer != m_lastAsked && read.asOf > bestTime);
        if (isBetter) {
            best = peer;
            bestTime = read.asOf;
        }
    }
    if (!best) {
        m_differsSince.reset();
        return std::nullopt;
    }
    if (!m_differsSince) {
        m_differsSince = now;
        Base::log(LogLevel::Warning, "registrationsOutdated",
                  {{"peer", *best}, {"ownAge", now - m_own.asOf}, {"peerAge", now - bestTime}});
    }
    if (now - *m_differsSince < Constants::REGISTRATIONS_DIFFER_MS
        || now - m_lastRequest < Constants::REGISTRATIONS_REQUEST_INTERVAL_MS) {
        return std::nullopt;
    }
    m_lastRequest = now;
    m_lastAsked = *best;
    return best;
}

bool RegistrationExchange::received(const Base::DaemonId &peer, const Wire::Registrations &message)
{
    if (peer != m_lastAsked)
        return false;
    m_lastAsked = {};
    const Base::TimePoint now = m_timers.now();
    const Base::TimePoint asOf = now - std::chrono::milliseconds(message.ageMs);
    if (asOf <= used().asOf)
        return false;
    Borrowed borrowed{peer, {message.digest, asOf}, {}, {}};
    for (const std::string &it : message.domains)
        borrowed.domains.insert(Base::FailureDomainId(it));
    for (const Wire::Registration &it : message.executors) {
        ExecutorInfo executor = decodeRegistration(it);
        if (borrowed.domains.contains(executor.domain))
            borrowed.executors.push_back(std::move(executor));
    }
    Base::log(LogLevel::Info, "registrationsFromPeer",
              {{"peer", peer},
               {"executors", borrowed.executors.size()},
               {"age", now - asOf},
               {"ownAge", now - m_own.asOf}});
    m_borrowed = std::move(borrowed);
    m_differsSince.reset();
    return true;
}

std::vector<ExecutorInfo> RegistrationExchange::merge(const std::vector<ExecutorInfo> &own) const
{
    if (!m_borrowed)
        return own;
    std::vector<ExecutorInfo> merged;
    std::copy_if(own.begin(), own.end(), std::back_inserter(merged),
                 [this](const auto &it) { return !m_borrowed->domains.contains(it.domain); });
    merged.insert(merged.end(), m_borrowed->executors.begin(), m_borrowed->executors.end());
    return merged;
}

Wire::Registration encodeRegistration(const ExecutorInfo &executor)
{
    return {executor.id.value(),
            executor.address,
            executor.domain.value(),
            executor.service.value(),
            executor.capacity.cpuMillis,
            executor.capacity.memoryMb,
            executor.capacity.gpus,
            executor.kind,
            executor.rack,
            executor.draining,
            executor.refusesOverload,
            executor.lifetime.value()};
}

ExecutorInfo decodeRegistration(const Wire::Registration &registration)
{
    ExecutorInfo executor;
    executor.id = ExecutorId(registration.id);
    executor.address = registration.address;
    executor.domain = Base::FailureDomainId(registration.domain);
    executor.service = ServiceId(registration.service);
    executor.capacity = {registration.cpuMillis, registration.memoryMb, registration.gpus};
    executor.kind = registration.kind;
    executor.rack = registration.rack;
    executor.draining = registration.draining;
    executor.refusesOverload = registration.refusesOverload;
    executor.lifetime = Lifetime(registration.lifetime);
    return executor;
}

} // namespace Dispatch
