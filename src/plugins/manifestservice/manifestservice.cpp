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
/// Reads and repeats of a head write whose reply was lost, before the operator is told.
static constexpr int MAX_RESOLVE_ATTEMPTS = 6;

ManifestHolder::ManifestHolder(const Settings::Runtime &runtime)
    : m_runtime(runtime)
{}

absl::Status ManifestHolder::start(const Kernel::ServiceRegistry &registry)
{
    m_table = registry.find<Platform::Table>(Kernel::ServiceNames::PLATFORM_CLIENT);
    m_objects = registry.find<Platform::ObjectStore>(Kernel::ServiceNames::PLATFORM_CLIENT);
    m_peers = registry.find<Wire::PeerPort>(Kernel::ServiceNames::PEER_LINK);
    m_telemetry = registry.find<Telemetry::TelemetryService>(Kernel::ServiceNames::TELEMETRY);
    EP_ASSERT(m_table && m_objects && m_peers && m_telemetry,
              return makeFailure(FailureCode::Internal, "manifest: missing service"));
    m_telemetry->metrics().setGauge("endivepath_manifest_revision",
                                    "Revision of the manifest in force; 0 before the first.",
                                    [this] { return static_cast<double>(revision().value()); });
    poll();
    return absl::OkStatus();
}

void ManifestHolder::stop()
{
    m_runtime.timers.cancel(m_pollTimer);
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
    m_pollTimer = m_runtime.timers.schedule(POLL_INTERVAL_MS, [this] { poll(); });
    m_table->read(HEAD_KEY, [this](const absl::Status &status, const Platform::Row &row) {
        if (status.ok() && row.version > 0)
            headReceived(row);
    });
}

void ManifestHolder::headReceived(const Platform::Row &row)
{
    Head head;
    if (!decodeHead(row.value, head)) {
        Base::log(Base::LogLevel::Error, "manifestHeadMalformed", {{"version", row.version}});
        return;
    }
    // An old copy of the table shows a lower revision, which is never applied.
    if (head.revision <= revision() || head.revision == m_refusedRevision)
        return;
    m_objects->get("manifest/" + head.digest,
                   [this, head](const absl::Status &status, const std::string &body) {
                       if (!status.ok())
                           return;
                       if (Manifest::manifestDigest(body) != head.digest) {
                           Base::log(Base::LogLevel::Error, "manifestDigestMismatch",
                                     {{"revision", head.revision}});
                           return;
                       }
                       if (!apply(body, head.revision))
                           m_refusedRevision = std::max(m_refusedRevision, head.revision);
                   });
}

void ManifestHolder::record(EventLog::EventType type, Base::Revision revision)
{
    EventLog::EventInfo event;
    event.type = type;
    event.detail = static_cast<std::int64_t>(revision.value());
    m_telemetry->record(event);
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
    if (announced > revision())
        m_peers->send(peer, Wire::ManifestFetch{announced.value()});
}

void ManifestHolder::peerMessageReceived(const Wire::PeerIdentity &from,
                                         const Wire::Message &message)
{
    if (const auto *fetch = std::get_if<Wire::ManifestFetch>(&message)) {
        if (m_current && fetch->revision <= revision().value())
            m_peers->send(from.daemon, Wire::ManifestBody{revision().value(), m_body});
    } else if (const auto *body = std::get_if<Wire::ManifestBody>(&message)) {
        apply(body->body, Base::Revision(body->revision));
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
    m_table->read(HEAD_KEY, [this, body, parent, revision = manifest->revision,
                             callback](const absl::Status &status, const Platform::Row &row) {
        SubmitResult outcome;
        outcome.currentRevision = this->revision();
        if (!status.ok()) {
            outcome.status = status;
            callback(outcome);
            return;
        }
        Head head;
        if (row.version > 0 && decodeHead(row.value, head))
            outcome.currentRevision = head.revision;
        if (head.revision != parent || revision <= head.revision) {
            outcome.status = makeFailure(FailureCode::VersionMismatch,
                                         fmt::format("the revision in force is {}, not {}",
                                                     head.revision.value(), parent.value()));
            callback(outcome);
            return;
        }
        const std::string digest = Manifest::manifestDigest(body);
        Platform::ConditionalWrite write;
        write.key = HEAD_KEY;
        write.value = json({{"revision", revision.value()}, {"digest", digest}}).dump();
        write.expectedVersion = row.version;
        write.transaction = fmt::format("{}-{}-manifest-{}", m_runtime.settings.daemon.value(),
                                        m_runtime.incarnation.value(), ++m_lastTransaction);
        m_objects->put("manifest/" + digest, body,
                       [this, write, revision, body, callback](const absl::Status &putStatus) {
                           if (!putStatus.ok()) {
                               // Without the head row, the object alone has no effect.
                               SubmitResult failed;
                               failed.status = makeFailure(FailureCode::PlatformUnavailable,
                                                           Base::failureMessage(putStatus));
                               failed.currentRevision = this->revision();
                               callback(failed);
                               return;
                           }
                           writeHead(write, revision, body, 0, callback);
                       });
    });
}

void ManifestHolder::writeHead(Platform::ConditionalWrite write, Base::Revision revision,
                               std::string body, int attempt, const SubmitCallback &callback)
{
    m_table->compareAndSet(write, [this, write, revision, body = std::move(body), attempt,
                                   callback](const absl::Status &status, std::uint64_t) mutable {
        if (Base::failureCode(status) == FailureCode::FateUnknown
            || (attempt > 0 && Base::failureCode(status) == FailureCode::PlatformUnavailable)) {
            resolveHeadWrite(std::move(write), revision, std::move(body), attempt + 1, callback);
            return;
        }
        SubmitResult result;
        result.status = status;
        if (status.ok())
            apply(body, revision);
        result.currentRevision = this->revision();
        callback(result);
    });
}

void ManifestHolder::resolveHeadWrite(Platform::ConditionalWrite write, Base::Revision revision,
                                      std::string body, int attempt, const SubmitCallback &callback)
{
    if (attempt > MAX_RESOLVE_ATTEMPTS) {
        SubmitResult result;
        result.status = makeFailure(FailureCode::FateUnknown,
                                    "the platform does not say whether the revision was written");
        result.currentRevision = this->revision();
        callback(result);
        return;
    }
    // Repeating the write under its transaction id either finds it done or does it now.
    m_runtime.timers.schedule(RESOLVE_INTERVAL_MS, [this, write = std::move(write), revision,
                                                    body = std::move(body), attempt,
                                                    callback]() mutable {
        writeHead(std::move(write), revision, std::move(body), attempt, callback);
    });
}

} // namespace ManifestService
