// The manifest in force at this daemon, and how it learns of new revisions.
#pragma once

#include <base/ids.h>
#include <kernel/service.h>
#include <manifest/manifest.h>
#include <platform/table.h>
#include <settings/faultlist.h>
#include <settings/runtime.h>
#include <telemetry/telemetryservice.h>
#include <wire/peerport.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ManifestService {

/// The answer to an operator who submits a manifest.
struct SubmitResult
{
    absl::Status status; // invalidManifest, versionMismatch, platformUnavailable, fateUnknown
    std::vector<Settings::Fault> faults;
    Base::Revision currentRevision; // in the platform's table, as far as known
};

/// Holds the highest valid revision seen, whether from the platform or from a peer, and never goes
/// back. A revision is applied whole or not at all.
class ManifestHolder : public Kernel::Service, public Wire::PeerListener
{
public:
    using Snapshot = std::shared_ptr<const Manifest::Manifest>;
    using Observer = std::function<void(const Snapshot &)>;
    using SubmitCallback = std::function<void(const SubmitResult &)>;

    explicit ManifestHolder(const Settings::Runtime &runtime);

    absl::Status start(const Kernel::ServiceRegistry &registry) override;
    void stop() override;

    /// The manifest in force; null until the first one has arrived.
    const Snapshot &current() const { return m_current; }
    Base::Revision revision() const;
    const std::string &body() const { return m_body; }
    /// Calls \a observer at each change, and at once if a manifest is in force.
    void observe(Observer observer);

    /// Makes \a body the successor of revision \a parent by a compare-and-set in the platform's
    /// table.
    void submit(const std::string &body, Base::Revision parent, SubmitCallback callback);
    /// A peer has announced \a revision.
    void revisionAnnounced(const Base::DaemonId &peer, Base::Revision revision);

    /// Revisions that failed the check, for status and alarms.
    Base::Revision refusedRevision() const { return m_refusedRevision; }

    void peerMessageReceived(const Wire::PeerIdentity &from, const Wire::Message &message) override;

private:
    struct Head
    {
        Base::Revision revision;
        std::string digest;
    };

    static bool decodeHead(const std::string &text, Head &head);
    void poll();
    void headReceived(const Platform::Row &row);
    bool apply(const std::string &body, Base::Revision announced);
    void record(EventLog::EventType type, Base::Revision revision);
    void writeHead(Platform::ConditionalWrite write, Base::Revision revision, std::string body,
                   int attempt, const SubmitCallback &callback);
    void resolveHeadWrite(Platform::ConditionalWrite write, Base::Revision revision,
                          std::string body, int attempt, const SubmitCallback &callback);

    const Settings::Runtime m_runtime;
    Platform::Table *m_table = nullptr;
    Platform::ObjectStore *m_objects = nullptr;
    Wire::PeerPort *m_peers = nullptr;
    Telemetry::TelemetryService *m_telemetry = nullptr;
    Snapshot m_current; // its revision never decreases
    std::string m_body; // text of m_current
    Base::Revision m_refusedRevision;
    std::vector<Observer> m_observers;
    Base::TimerId m_pollTimer;
    std::uint64_t m_lastTransaction = 0;
};

} // namespace ManifestService
