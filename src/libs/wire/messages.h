// Messages between daemons. Each is a msgpack array; a frame holds the message's type number and
// the message. Unknown types are rejected, so all daemons of a deployment run compatible versions.
#pragma once

#include <base/ids.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <msgpack.hpp>

namespace Wire {

/// First message on a connection in each direction; see PeerLink for the authentication.
struct Hello
{
    std::string daemon;
    std::string failureDomain;
    std::uint64_t incarnation = 0;
    std::string nonce;
    std::string proof;

    MSGPACK_DEFINE(daemon, failureDomain, incarnation, nonce, proof)
};

struct OwnedShard
{
    std::uint64_t shard = 0;
    std::uint64_t epoch = 0;

    MSGPACK_DEFINE(shard, epoch)
};

/// Sent periodically to the daemons of the same failure domain, and less often across domains.
struct Heartbeat
{
    std::uint64_t manifestRevision = 0;
    std::vector<OwnedShard> owned;
    bool draining = false;
    std::uint64_t queuedTasks = 0;
    std::uint64_t clockMs = 0; // the sender's hybrid clock, see EventLog::Stamp
    std::uint32_t clockCounter = 0;

    MSGPACK_DEFINE(manifestRevision, owned, draining, queuedTasks, clockMs, clockCounter)
};

struct LeaseRequest
{
    std::uint64_t sequence = 0;

    MSGPACK_DEFINE(sequence)
};

struct LeasePromise
{
    std::uint64_t sequence = 0;
    std::uint64_t takeovers = 0; // takeover writes that this run of the sender has sent so far

    MSGPACK_DEFINE(sequence, takeovers)
};

/// Records of a shard, from its owner to a replica.
struct Replicate
{
    std::uint64_t shard = 0;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::vector<std::string> records; // encoded by the jobs library
    bool snapshot = false;            // the records are part of a copy of the whole shard
    bool snapshotEnd = false;         // the last part of that copy
    std::uint64_t incompleteMs = 0;   // how long the owner still does not know all earlier keys

    MSGPACK_DEFINE(shard, epoch, sequence, records, snapshot, snapshotEnd, incompleteMs)
};

struct ReplicateAck
{
    std::uint64_t shard = 0;
    std::uint64_t epoch = 0; // highest epoch known to the replica
    std::uint64_t sequence = 0;
    bool accepted = false;

    MSGPACK_DEFINE(shard, epoch, sequence, accepted)
};

/// Asks a replica to take over a shard that its owner has written to it in the table.
struct HandOver
{
    std::uint64_t shard = 0;
    std::uint64_t epoch = 0;

    MSGPACK_DEFINE(shard, epoch)
};

enum class ForwardOperation : std::uint8_t { Submit = 0, Status = 1, Cancel = 2, Tickets = 3 };

/// A caller's request, from the entry daemon to the home of the request.
struct Forward
{
    std::uint64_t correlation = 0;
    std::uint8_t operation = 0;
    std::string team;
    std::string key;
    std::string body;           // the caller's JSON body
    std::uint64_t waitMs = 0;   // how long the reply may wait for the outcome
    std::uint64_t budgetMs = 0; // time left until the caller's deadline

    MSGPACK_DEFINE(correlation, operation, team, key, body, waitMs, budgetMs)
};

struct ForwardReply
{
    std::uint64_t correlation = 0;
    std::uint16_t status = 0; // HTTP status for the caller
    std::string body;
    std::string redirect; // daemon id of the shard's owner, if this daemon is not the owner

    MSGPACK_DEFINE(correlation, status, body, redirect)
};

/// Asks for, grants or returns a loan of slots of an upstream. A request has no duration. A grant
/// and a return carry the sequence number of the borrower's request.
struct SlotLoan
{
    std::string upstream;
    std::uint64_t slots = 0;
    std::uint64_t durationMs = 0;
    bool returned = false;
    std::uint64_t sequence = 0; // unique among all requests of the borrower, also over restarts

    MSGPACK_DEFINE(upstream, slots, durationMs, returned, sequence)
};

struct ManifestFetch
{
    std::uint64_t revision = 0; // the sender wants this revision or a higher one

    MSGPACK_DEFINE(revision)
};

struct ManifestBody
{
    std::uint64_t revision = 0;
    std::string body;

    MSGPACK_DEFINE(revision, body)
};

/// The order of the alternatives is the type number on the wire; append only.
using Message =
    std::variant<Hello, Heartbeat, LeaseRequest, LeasePromise, Replicate, ReplicateAck, HandOver,
                 Forward, ForwardReply, SlotLoan, ManifestFetch, ManifestBody>;

} // namespace Wire
