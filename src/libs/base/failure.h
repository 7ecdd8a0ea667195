// Typed failures. An absl::Status carries a FailureCode as its payload. The message is for humans
// only; code never branches on it.
#pragma once

#include <absl/status/status.h>

#include <string>
#include <string_view>

namespace Base {

/// Reasons why an operation can fail. The names are part of the caller API.
enum class FailureCode {
    None,
    BadRequest,          ///< Malformed input.
    TooLarge,            ///< A size or count limit is exceeded.
    UnknownKind,         ///< The manifest in force does not declare the request kind.
    UnknownTeam,         ///< The manifest in force does not declare the team.
    UnknownRequest,      ///< No record of this request.
    KeyConflict,         ///< The idempotency key is in use with a different body.
    HomeUnreachable,     ///< The request's home failure domain can't be reached.
    NotOwner,            ///< This daemon does not own the shard.
    NoLease,             ///< The owner's lease is not valid.
    ReplicationFailed,   ///< The record could not be replicated.
    Overloaded,          ///< Admission control refused the request.
    QuotaExceeded,       ///< The team is over its quota.
    DeadlineImpossible,  ///< No response is possible before the deadline.
    Unservable,          ///< No declared upstream can ever run the request.
    DeadlineExceeded,    ///< The deadline passed.
    Cancelled,           ///< The caller cancelled the request.
    TaskFailed,          ///< A worker ran a task and reported an error.
    WorkerLost,          ///< The outcome of a started task can't be determined.
    KnowledgeLost,       ///< Records of the shard were lost; the key may have run before.
    Draining,            ///< The daemon is shutting down.
    Starting,            ///< The daemon has no manifest yet.
    Unauthorized,        ///< Missing or wrong credentials.
    VersionMismatch,     ///< A compare-and-set found another version.
    PlatformUnavailable, ///< The platform did not answer.
    FateUnknown,         ///< A write or start was sent and its result is not known.
    PeerUnreachable,     ///< No connection to the peer daemon.
    InvalidSettings,     ///< A settings file is faulty.
    InvalidManifest,     ///< A manifest is faulty.
    PlacementChanged,    ///< A manifest changes the placement of keys.
    Timeout,             ///< No response in time.
    Internal             ///< An invariant was violated.
};

/// camelCase name of \a code, as it appears in JSON and logs.
std::string_view failureName(FailureCode code);
/// The code named \a name, or FailureCode::Internal if there is none.
FailureCode failureFromName(std::string_view name);

/// A non-OK status that carries \a code.
absl::Status makeFailure(FailureCode code, std::string_view message);
/// The code carried by \a status; None for an OK status, Internal if it carries none.
FailureCode failureCode(const absl::Status &status);
/// The message of \a status.
std::string failureMessage(const absl::Status &status);

} // namespace Base
