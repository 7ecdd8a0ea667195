// Conversion between failure codes, their names and absl::Status.
#include "failure.h"

#include <absl/strings/cord.h>

#include <array>
#include <utility>

namespace Base {

static constexpr const char PAYLOAD_URL[] = "endivepath/failure";

struct FailureEntry
{
    FailureCode code;
    std::string_view name;
    absl::StatusCode status;
};

static constexpr std::array ENTRIES{
    FailureEntry{FailureCode::None, "none", absl::StatusCode::kOk},
    FailureEntry{FailureCode::BadRequest, "badRequest", absl::StatusCode::kInvalidArgument},
    FailureEntry{FailureCode::TooLarge, "tooLarge", absl::StatusCode::kInvalidArgument},
    FailureEntry{FailureCode::UnknownKind, "unknownKind", absl::StatusCode::kInvalidArgument},
    FailureEntry{FailureCode::UnknownTeam, "unknownTeam", absl::StatusCode::kInvalidArgument},
    FailureEntry{FailureCode::UnknownRequest, "unknownRequest", absl::StatusCode::kNotFound},
    FailureEntry{FailureCode::KeyConflict, "keyConflict", absl::StatusCode::kAlreadyExists},
    FailureEntry{FailureCode::HomeUnreachable, "homeUnreachable", absl::StatusCode::kUnavailable},
    FailureEntry{FailureCode::NotOwner, "notOwner", absl::StatusCode::kFailedPrecondition},
    FailureEntry{FailureCode::NoLease, "noLease", absl::StatusCode::kUnavailable},
    FailureEntry{FailureCode::ReplicationFailed, "replicationFailed",
                 absl::StatusCode::kUnavailable},
    FailureEntry{FailureCode::Overloaded, "overloaded", absl::StatusCode::kResourceExhausted},
    FailureEntry{FailureCode::QuotaExceeded, "quotaExceeded", absl::StatusCode::kResourceExhausted},
    FailureEntry{FailureCode::DeadlineImpossible, "deadlineImpossible",
                 absl::StatusCode::kResourceExhausted},
    FailureEntry{FailureCode::Unservable, "unservable", absl::StatusCode::kFailedPrecondition},
    FailureEntry{FailureCode::DeadlineExceeded, "deadlineExceeded",
                 absl::StatusCode::kDeadlineExceeded},
    FailureEntry{FailureCode::Cancelled, "cancelled", absl::StatusCode::kCancelled},
    FailureEntry{FailureCode::TaskFailed, "taskFailed", absl::StatusCode::kAborted},
    FailureEntry{FailureCode::WorkerLost, "workerLost", absl::StatusCode::kAborted},
    FailureEntry{FailureCode::KnowledgeLost, "knowledgeLost", absl::StatusCode::kDataLoss},
    FailureEntry{FailureCode::Draining, "draining", absl::StatusCode::kUnavailable},
    FailureEntry{FailureCode::Starting, "starting", absl::StatusCode::kUnavailable},
    FailureEntry{FailureCode::Unauthorized, "unauthorized", absl::StatusCode::kUnauthenticated},
    FailureEntry{FailureCode::VersionMismatch, "versionMismatch", absl::StatusCode::kAborted},
    FailureEntry{FailureCode::PlatformUnavailable, "platformUnavailable",
                 absl::StatusCode::kUnavailable},
    FailureEntry{FailureCode::FateUnknown, "fateUnknown", absl::StatusCode::kUnknown},
    FailureEntry{FailureCode::PeerUnreachable, "peerUnreachable", absl::StatusCode::kUnavailable},
    FailureEntry{FailureCode::InvalidSettings, "invalidSettings",
                 absl::StatusCode::kInvalidArgument},
    FailureEntry{FailureCode::InvalidManifest, "invalidManifest",
                 absl::StatusCode::kInvalidArgument},
    FailureEntry{FailureCode::PlacementChanged, "placementChanged",
                 absl::StatusCode::kInvalidArgument},
    FailureEntry{FailureCode::Timeout, "timeout", absl::StatusCode::kDeadlineExceeded},
    FailureEntry{FailureCode::Internal, "internal", absl::StatusCode::kInternal},
};

static_assert(ENTRIES.size() == static_cast<std::size_t>(FailureCode::Internal) + 1);

static const FailureEntry &entryOf(FailureCode code)
{
    return ENTRIES[static_cast<std::size_t>(code)];
}

std::string_view failureName(FailureCode code)
{
    return entryOf(code).name;
}

FailureCode failureFromName(std::string_view name)
{
    for (const FailureEntry &it : ENTRIES) {
        if (it.name == name)
            return it.code;
    }
    return FailureCode::Internal;
}

absl::Status makeFailure(FailureCode code, std::string_view message)
{
    const FailureEntry &entry = entryOf(code);
    absl::Status status(entry.status, absl::string_view(message.data(), message.size()));
    status.SetPayload(PAYLOAD_URL,
                      absl::Cord(absl::string_view(entry.name.data(), entry.name.size())));
    return status;
}

FailureCode failureCode(const absl::Status &status)
{
    if (status.ok())
        return FailureCode::None;
    const auto payload = status.GetPayload(PAYLOAD_URL);
    if (!payload)
        return FailureCode::Internal;
    return failureFromName(std::string(*payload));
}

std::string failureMessage(const absl::Status &status)
{
    return {status.message().data(), status.message().size()};
}

} // namespace Base
