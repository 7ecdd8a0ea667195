// Polls, applies and submits manifests.
#include "manifestservice.h"

#include <base/failure.h>
#include <base/log.h>
#include <base/softassert.h>
#include <kernel/servicenames.h>
#include <kernel/serviceregistry.h>
#include <manifest/manifestreader.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace ManifestService {

using Base::FailureCode;
using Base::makeFailure;
using nlohmann::json;

static constexpr char HEAD_KEY[] = "manifest/head";
static constexpr std::chrono::milliseconds POLL_INTERVAL_MS{2000};
static constexpr std::chrono::milliseconds RESOLVE_INTERVAL_MS{500};
/// Poll interval until the first manifest is applied.
static constexpr std::chrono::milliseconds INITIAL_POLL_INTERVAL_MS{500};
/// Interval of attempts to use a peer's manifest. Peers connect and send heartbeats within a
/// second.
static constexpr std::chrono::milliseconds PEER_MANIFEST_INTERVAL_MS{1500};
/// With a poll every 500 ms, the table must fail for 4 s before a peer's manifest is used instead.
static constexpr int MIN_TABLE_FAILURES = 8;
/// Number of attempts after which the body of a higher revision that a peer announced is no longer
/// waited for.
static constexpr int MAX_PEER_MANIFEST_ATTEMPTS = 8;
/// Retries of a head write whose outcome is unknown, before the operator is informed.
static constexpr int MAX_RESOLVE_ATTEMPTS = 6;
/// Conflicts with the verification writes of restarting daemons before a submission fails.
static constexpr int MAX_CONFLICTS = 20;

ManifestHolder::ManifestHolder(const Settings::Runtime &runtime)
    : m_runtime(runtime)
{}

absl::Status ManifestHolder::start(const Kernel::ServiceRegistry &registry)
{
    m_table = registry.find<Storage::Table>(Kernel::ServiceNames::PLATFORM_CLIENT);
    m_objects = registry.find<Storage::ObjectStore>(Kernel::ServiceNames::PLATFORM_CLIENT);
    m_peers = registry.find<Wire::PeerPort>(Kernel::ServiceNames::PEER_LINK);
    m_telemetry = registry.find<Telemetry::TelemetryService>(Kernel::ServiceNames::TELEMETRY);
    EP_ASSERT(m_table && m_objects && m_peers && m_telemetry,
              return makeFailure(FailureCode::Internal, "manifest: missing service"));
    m_telemetry->metrics().setGauge("endivepath_manifest_revision",
                                    "Revision of the current manifest; 0 before the first.",
                                    [this] { return static_cast<double>(revision().value()); });
    m_peerManifestTimer =
        m_runtime.timers.schedule(PEER_MANIFEST_INTERVAL_MS, [this] { applyPeerManifest(); });
    poll();
    return absl::OkStatus();
}

void ManifestHolder::stop()
{
    m_runtime.timers.cancel(m_pollTimer);
    m_runtime.timers.cancel(m_peerManifestTimer);
}

Base::Revision ManifestHolder::revision() const
{
    return m_current ? m_current->revision : Base::Revision();
}

void ManifestHolder::observe(Observer observer)
{
    if (m_current)
        observer(m_current);
    m_observers.push_back(std::move(observer));
}

bool ManifestHolder::decodeHead(const std::string &text, Head &head)
{
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("revision") || !body["revision"].is_number_unsigned()
        || !body.contains("digest") || !body["digest"].is_string())
        return false;
    head.revision = Base::Revision(body["revision"].get<std::uint64_t>());
    head.digest = body["digest"];
    return true;
}

void ManifestHolder::poll()
{
    m_pollTimer = m_runtime.timers.schedule(m_current ? POLL_INTERVAL_MS : INITIAL_POLL_INTERVAL_MS,
                                            [this] { poll(); });
    m_table->read(HEAD_KEY, [this](const absl::Status &status, const Storage::Row &row) {
        // An empty table does not rule out that a peer has a manifest.
        if (status.ok() && row.version > 0)
            headReceived(row);
        else
            ++m_tableFailures;
    });
}

static bool isValidManifest(const std::string &body)
{
    Settings::FaultList faults;
    return Manifest::parseManifest(body, faults).has_value();
}

void ManifestHolder::headReceived(const Storage::Row &row)
{
    Head head;
    if (!decodeHead(row.value, head)) {
        Base::log(Base::LogLevel::Error, "manifestHeadMalformed", {{"version", row.version}});
        return;
    }
    // A stale read returns a lower revision, which is never applied.
    if (head.revision <= revision())
        return;
    if (head.revision == m_refusedRevision) {
        ++m_tableFailures;
        return;
    }
    m_objects->get("manifest/" + head.digest,
                   [this, head, row](const absl::Status &status, const std::string &body) {
                       if (!status.ok())
                           return;
                       if (Manifest::manifestDigest(body) != head.digest) {
                           Base::log(Base::LogLevel::Error, "manifestDigestMismatch",
                                     {{"revision", head.revision}});
                           return;
                       }
                       if (!m_current && isValidManifest(body)) {
                           verifyHead(row, body, head.revision);
                           return;
                       }
                       if (!apply(body, head.revision)) {
                           m_refusedRevision = std::max(m_refusedRevision, head.revision);
                       }
                   });
}

void ManifestHolder::record(EventLog::EventType type, Base::Revision revision)
{
    EventLog::EventInfo event;
    event.type = type;
    event.detail = static_cast<std::int64_t>(revision.value());
    m_telemetry->record(event);
}

void ManifestHolder::bodyReceived(const std::string &body, Base::Revision announced)
{
    if (m_current) {
        apply(body, announced);
        return;
    }
    Settings::FaultList faults;
    const auto manifest = Manifest::parseManifest(body, faults);
    if (manifest && manifest->revision > m_peerRevision) {
        m_peerRevision = manifest->revision;
        m_peerBody = body;
    }
}

void ManifestHolder::applyPeerManifest()
{
    if (m_current)
        return;
    m_peerManifestTimer =
        m_runtime.timers.schedule(PEER_MANIFEST_INTERVAL_MS, [this] { applyPeerManifest(); });
    if (m_tableFailures < MIN_TABLE_FAILURES || m_peerBody.empty())
        return;
    // A peer has announced a higher revision, whose body may have been lost in transit.
    if (m_peerRevision < m_announcedRevision
        && ++m_peerManifestAttempts < MAX_PEER_MANIFEST_ATTEMPTS)
        return;
    apply(m_peerBody, m_peerRevision);
}

void ManifestHolder::verifyHead(const Storage::Row &row, const std::string &body,
                                Base::Revision revision)
{
    // After a restart the last applied revision is unknown, and the read may be stale. Writing the
    // row back unchanged on condition of its version succeeds only if the read was current.
    Storage::ConditionalWrite write{HEAD_KEY, row.value, row.version, nextTransaction()};
    m_table->compareAndSet(write,
                           [this, body, revision](const absl::Status &status, std::uint64_t) {
                               if (!status.ok())
                                   ++m_tableFailures;
                               else if (!m_current)
                                   apply(body, revision);
                           });
}

std::string ManifestHolder::nextTransaction()
{
    return fmt::format("{}-{}-manifest-{}", m_runtime.settings.daemon.value(),
                       m_runtime.incarnation.value(), ++m_lastTransaction);
}

bool ManifestHolder::apply(const std::string &body, Base::Revision announced)
{
    Settings::FaultList faults;
    const auto manifest = Manifest::parseManifest(body, faults);
    if (manifest && manifest->revision <= revision())
        return true;
    if (manifest && m_current)
        Manifest::checkSuccessor(*m_current, *manifest, faults);
    if (!manifest || !faults.isEmpty()) {
        Base::log(Base::LogLevel::Error, "manifestRefused",
                  {{"inForce", revision()}, {"faults", Base::failureMessage(faults.status())}});
        record(EventLog::EventType::ManifestRefused, announced);
        return false;
    }
    m_current = std::make_shared<const Manifest::Manifest>(*manifest);
    m_body = body;
    Base::log(Base::LogLevel::Info, "manifestApplied", {{"revision", m_current->revision}});
    record(EventLog::EventType::ManifestApplied, m_current->revision);
    for (const Observer &it : m_observers)
        it(m_current);
    return true;
}

void ManifestHolder::revisionAnnounced(const Base::DaemonId &peer, Base::Revision announced)
{
    m_announcedRevision = std::max(m_announcedRevision, announced);
    if (announced > std::max(revision(), m_peerRevision))
        m_peers->send(peer, Wire::ManifestFetch{announced.value()});
}

void ManifestHolder::peerMessageReceived(const Wire::PeerIdentity &from,
                                         const Wire::Message &message)
{
    if (const auto *fetch = std::get_if<Wire::ManifestFetch>(&message)) {
        if (m_current && fetch->revision <= revision().value())
            m_peers->send(from.daemon, Wire::ManifestBody{revision().value(), m_body});
    } else if (const auto *body = std::get_if<Wire::ManifestBody>(&message)) {
        bodyReceived(body->body, Base::Revision(body->revision));
    }
}

void ManifestHolder::submit(const std::string &body, Base::Revision parent, SubmitCallback callback)
{
    SubmitResult result;
    result.currentRevision = revision();
    Settings::FaultList faults;
    const auto manifest = Manifest::parseManifest(body, faults);
    if (manifest && m_current && manifest->revision > revision())
        Manifest::checkSuccessor(*m_current, *manifest, faults);
    if (!manifest || !faults.isEmpty()) {
        result.status = faults.status();
        result.faults = faults.faults();
        callback(result);
        return;
    }
    HeadWrite head{{}, parent, manifest->revision, body, std::move(callback)};
    const std::string digest = Manifest::manifestDigest(body);
    head.write.key = HEAD_KEY;
    head.write.value = json({{"revision", head.revision.value()}, {"digest", digest}}).dump();
    m_objects->put("manifest/" + digest, body, [this, head](const absl::Status &status) {
        // The object has no effect until the head row names it.
        if (status.ok())
            checkParentAndWrite(head);
        else
            reportSubmit(
                head, makeFailure(FailureCode::PlatformUnavailable, Base::failureMessage(status)));
    });
}

void ManifestHolder::checkParentAndWrite(HeadWrite head)
{
    m_table->read(HEAD_KEY, [this, head = std::move(head)](const absl::Status &status,
                                                           const Storage::Row &row) mutable {
        if (!status.ok()) {
            reportSubmit(head, status);
            return;
        }
        Head current;
        if (row.version > 0)
            decodeHead(row.value, current);
        if (current.revision != head.parent || head.revision <= current.revision) {
            SubmitResult result;
            result.status = makeFailure(FailureCode::VersionMismatch,
                                        fmt::format("the current revision is {}, not {}",
                                                    current.revision.value(), head.parent.value()));
            result.currentRevision = current.revision;
            head.callback(result);
            return;
        }
        head.write.expectedVersion = row.version;
        head.write.transaction = nextTransaction();
        head.resolveAttempts = 0;
        writeHead(head);
    });
}

void ManifestHolder::writeHead(const HeadWrite &head)
{
    m_table->compareAndSet(head.write, [this, head](const absl::Status &status, std::uint64_t) {
        headWritten(head, status);
    });
}

void ManifestHolder::headWritten(HeadWrite head, const absl::Status &status)
{
    const FailureCode code = Base::failureCode(status);
    const bool isOutcomeUnknown =
        code == FailureCode::FateUnknown
        || (head.resolveAttempts > 0 && code == FailureCode::PlatformUnavailable);
    if (isOutcomeUnknown && ++head.resolveAttempts <= MAX_RESOLVE_ATTEMPTS) {
        // The transaction id makes the write idempotent: the retry finds it done or does it.
        m_runtime.timers.schedule(RESOLVE_INTERVAL_MS, [this, head] { writeHead(head); });
        return;
    }
    if (code == FailureCode::VersionMismatch && ++head.conflicts <= MAX_CONFLICTS) {
        checkParentAndWrite(std::move(head));
        return;
    }
    if (status.ok())
        apply(head.body, head.revision);
    reportSubmit(head, isOutcomeUnknown ? makeFailure(FailureCode::FateUnknown,
                                                      "the platform did not confirm whether the "
                                                      "revision was written")
                                        : status);
}

void ManifestHolder::reportSubmit(const HeadWrite &head, const absl::Status &status)
{
    SubmitResult result;
    result.status = status;
    result.currentRevision = revision();
    head.callback(result);
}

} // namespace ManifestService
