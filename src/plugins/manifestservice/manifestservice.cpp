// Polling, applying and submitting of manifests.
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
/// Until a manifest is in force, the table is asked this often.
static constexpr std::chrono::milliseconds FIRST_POLL_MS{500};
/// Peers connect and send heartbeats within a second.
static constexpr std::chrono::milliseconds FIRST_CHOICE_MS{1500};
/// With a poll every 500 ms, the table must fail for 4 s before the word of peers is enough.
static constexpr int MAX_TABLE_FAILURES = 8;
/// After this many periods a peer that told of a higher revision counts as lost.
static constexpr int MAX_FIRST_CHOICES = 8;
/// Reads and repeats of a head write whose reply was lost, before the operator is told.
static constexpr int MAX_RESOLVE_ATTEMPTS = 6;
/// Verifications of restarting daemons that a submission may meet before it is given up.
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
                                    "Revision of the manifest in force; 0 before the first.",
                                    [this] { return static_cast<double>(revision().value()); });
    m_firstChoiceTimer = m_runtime.timers.schedule(FIRST_CHOICE_MS, [this] { chooseFirst(); });
    poll();
    return absl::OkStatus();
}

void ManifestHolder::stop()
{
    m_runtime.timers.cancel(m_pollTimer);
    m_runtime.timers.cancel(m_firstChoiceTimer);
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
    m_pollTimer =
        m_runtime.timers.schedule(m_current ? POLL_INTERVAL_MS : FIRST_POLL_MS, [this] { poll(); });
    m_table->read(HEAD_KEY, [this](const absl::Status &status, const Storage::Row &row) {
        // An empty table says nothing of a manifest that a peer may have.
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
    // An old copy of the table shows a lower revision, which is never applied.
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

void ManifestHolder::chooseFirst()
{
    if (m_current)
        return;
    m_firstChoiceTimer = m_runtime.timers.schedule(FIRST_CHOICE_MS, [this] { chooseFirst(); });
    if (m_tableFailures < MAX_TABLE_FAILURES || m_peerBody.empty())
        return;
    // A peer knows a higher revision, whose body may have been lost on its way.
    if (m_peerRevision < m_announced && ++m_choiceAttempts < MAX_FIRST_CHOICES)
        return;
    apply(m_peerBody, m_peerRevision);
}

void ManifestHolder::verifyHead(const Storage::Row &row, const std::string &body,
                                Base::Revision revision)
{
    // A restarted daemon has forgotten which revision it had, and a read may be served from an old
    // copy. A write on the condition of the version that was read succeeds only if that is current.
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
    m_announced = std::max(m_announced, announced);
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
        // Without the head row, the object alone has no effect.
        if (status.ok())
            retryAfterConflict(head);
        else
            reportSubmit(
                head, makeFailure(FailureCode::PlatformUnavailable, Base::failureMessage(status)));
    });
}

void ManifestHolder::retryAfterConflict(HeadWrite head)
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
                                        fmt::format("the revision in force is {}, not {}",
                                                    current.revision.value(), head.parent.value()));
            result.currentRevision = current.revision;
            head.callback(result);
            return;
        }
        head.write.expectedVersion = row.version;
        head.write.transaction = nextTransaction();
        head.unknownFates = 0;
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
    const bool isUnknown = code == FailureCode::FateUnknown
                           || (head.unknownFates > 0 && code == FailureCode::PlatformUnavailable);
    if (isUnknown && ++head.unknownFates <= MAX_RESOLVE_ATTEMPTS) {
        // Repeating the write under its transaction id either finds it done or does it now.
        m_runtime.timers.schedule(RESOLVE_INTERVAL_MS, [this, head] { writeHead(head); });
        return;
    }
    if (code == FailureCode::VersionMismatch && ++head.conflicts <= MAX_CONFLICTS) {
        retryAfterConflict(std::move(head));
        return;
    }
    if (status.ok())
        apply(head.body, head.revision);
    reportSubmit(head, isUnknown ? makeFailure(FailureCode::FateUnknown,
                                               "the platform does not say whether the revision "
                                               "was written")
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
