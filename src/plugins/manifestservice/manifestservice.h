// Keeps the current manifest of this daemon and obtains new revisions.
#pragma once

#include <base/ids.h>
#include <kernel/service.h>
#include <manifest/manifest.h>
#include <settings/faultlist.h>
#include <settings/runtime.h>
#include <storage/table.h>
#include <telemetry/telemetryservice.h>
#include <wire/peerport.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ManifestService {

/// Result of submitting a manifest.
struct SubmitResult
{
    absl::Status status; // invalidManifest, versionMismatch, platformUnavailable, fateUnknown
    std::vector<Settings::Fault> faults;
    Base::Revision currentRevision; // in the platform's table, as far as known
};

/// Holds the highest valid revision received from the platform or a peer, and never reverts to a
/// lower one. A revision is applied completely or not at all.
class ManifestHolder : public Kernel::Service, public Wire::PeerListener
{
public:
    using Snapshot = std::shared_ptr<const Manifest::Manifest>;
    using Observer = std::function<void(const Snapshot &)>;
    using SubmitCallback = std::function<void(const SubmitResult &)>;

    explicit ManifestHolder(const Settings::Runtime &runtime);

    absl::Status start(const Kernel::ServiceRegistry &registry) override;
    void stop() override;

    /// The current manifest; null until the first one is applied.
    const Snapshot &current() const { return m_current; }
    Base::Revision revision() const;
    const std::string &body() const { return m_body; }
    /// Calls \a observer on each change, and immediately if there is a current manifest.
    void observe(Observer observer);

    /// Makes \a body the successor of revision \a parent by a compare-and-set in the platform's
    /// table.
    void submit(const std::string &body, Base::Revision parent, SubmitCallback callback);
    /// Fetches \a revision, which \a peer has announced, if it is higher than the known ones.
    void revisionAnnounced(const Base::DaemonId &peer, Base::Revision revision);

    /// Highest revision in the platform's table that failed validation, for status and alarms.
    Base::Revision refusedRevision() const { return m_refusedRevision; }

    void peerMessageReceived(const Wire::PeerIdentity &from, const Wire::Message &message) override;

private:
    struct Head
    {
        Base::Revision revision;
        std::string digest;
    };

    /// A submission that is being written to the table.
    struct HeadWrite
    {
        Storage::ConditionalWrite write;
        Base::Revision parent;
        Base::Revision revision;
        std::string body;
        SubmitCallback callback;
        int resolveAttempts = 0; // of this write while its outcome is unknown
        int conflicts = 0;       // with other writes
    };

    static bool decodeHead(const std::string &text, Head &head);
    void poll();
    void headReceived(const Storage::Row &row);
    /// Applies \a body, or keeps it for applyPeerManifest() if there is no current manifest yet.
    void bodyReceived(const std::string &body, Base::Revision announced);
    /// Applies the manifest received from peers if the table has given no usable one for a while.
    void applyPeerManifest();
    /// Applies the first manifest if \a row is not stale.
    void verifyHead(const Storage::Row &row, const std::string &body, Base::Revision revision);
    std::string nextTransaction();
    bool apply(const std::string &body, Base::Revision announced);
    void record(EventLog::EventType type, Base::Revision revision);
    void writeHead(const HeadWrite &head);
    void headWritten(HeadWrite head, const absl::Status &status);
    /// Writes the head row if the revision in it is still the parent. A conflicting write that was
    /// only a verification leaves it so.
    void checkParentAndWrite(HeadWrite head);
    void reportSubmit(const HeadWrite &head, const absl::Status &status);

    const Settings::Runtime m_runtime;
    Storage::Table *m_table = nullptr;
    Storage::ObjectStore *m_objects = nullptr;
    Wire::PeerPort *m_peers = nullptr;
    Telemetry::TelemetryService *m_telemetry = nullptr;
    Snapshot m_current; // its revision never decreases
    std::string m_body; // text of m_current
    Base::Revision m_refusedRevision;
    std::vector<Observer> m_observers;
    Base::TimerId m_pollTimer;
    Base::TimerId m_peerManifestTimer;
    std::uint64_t m_lastTransaction = 0;

    // Used until the first manifest is applied.
    std::string m_peerBody;             // highest valid manifest received from a peer
    Base::Revision m_peerRevision;      // of m_peerBody
    Base::Revision m_announcedRevision; // highest revision announced by a peer
    int m_tableFailures = 0;            // reads and verifications that gave no usable manifest
    int m_peerManifestAttempts = 0;
};

} // namespace ManifestService
