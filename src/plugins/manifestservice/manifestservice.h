// The manifest in force at this daemon, and how it learns of new revisions.
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

    /// A submission on its way into the table.
    struct HeadWrite
    {
        Storage::ConditionalWrite write;
        Base::Revision parent;
        Base::Revision revision;
        std::string body;
        SubmitCallback callback;
        int unknownFates = 0; // of the same write
        int conflicts = 0;    // with other writes
    };

    static bool decodeHead(const std::string &text, Head &head);
    void poll();
    void headReceived(const Storage::Row &row);
    /// Applies \a body, or keeps it until the first choice if none is in force yet.
    void bodyReceived(const std::string &body, Base::Revision announced);
    /// Takes what peers have sent, if the table can't tell more.
    void chooseFirst();
    /// Applies the first manifest if \a row is not an old copy of the table.
    void verifyHead(const Storage::Row &row, const std::string &body, Base::Revision revision);
    std::string nextTransaction();
    bool apply(const std::string &body, Base::Revision announced);
    void record(EventLog::EventType type, Base::Revision revision);
    void writeHead(const HeadWrite &head);
    void headWritten(HeadWrite head, const absl::Status &status);
    /// The row was written meanwhile: goes on if that was only a verification.
    void retryAfterConflict(HeadWrite head);
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
    Base::TimerId m_firstChoiceTimer;
    std::uint64_t m_lastTransaction = 0;

    // Valid until the first manifest is in force.
    std::string m_peerBody;        // the highest valid one that a peer has sent
    Base::Revision m_peerRevision; // of m_peerBody
    Base::Revision m_announced;    // highest revision that a peer has told of
    int m_tableFailures = 0;       // reads and verifications that did not tell it
    int m_choiceAttempts = 0;
};

} // namespace ManifestService
