// msgpack encoding of records.
#include "jobrecord.h"

#include <msgpack.hpp>

namespace Jobs {

/// Members in wire order; new members may only be appended.
struct EncodedRecord
{
    std::string team;
    std::string key;
    std::uint64_t shard = 0;
    std::uint64_t epoch = 0;
    std::string kind;
    bool isSingle = false;
    bool isRepeatable = false;
    std::string digest;
    std::vector<std::string> payloads;
    std::int64_t remainingMs = 0;
    bool hasOutcome = false;
    std::uint8_t state = 0;
    std::string failure;
    std::string message;
    std::vector<std::string> results;
    std::uint64_t serial = 0;

    MSGPACK_DEFINE(team, key, shard, epoch, kind, isSingle, isRepeatable, digest, payloads,
                   remainingMs, hasOutcome, state, failure, message, results, serial)
};

std::string encodeRecord(const JobRecord &record, Base::Duration remaining, bool withPayloads)
{
    EncodedRecord encoded;
    encoded.team = record.id.team.value();
    encoded.key = record.id.key.value();
    encoded.shard = record.shard.index.value();
    encoded.epoch = record.epoch.value();
    encoded.serial = record.serial;
    encoded.kind = record.kind.value();
    encoded.isSingle = record.isSingle;
    encoded.isRepeatable = record.isRepeatable;
    encoded.digest = record.digest;
    if (withPayloads)
        encoded.payloads = record.payloads;
    encoded.remainingMs = Base::toMilliseconds(remaining);
    if (record.outcome) {
        encoded.hasOutcome = true;
        encoded.state = static_cast<std::uint8_t>(record.outcome->state);
        encoded.failure = Base::failureName(record.outcome->failure);
        encoded.message = record.outcome->message;
        encoded.results = record.outcome->results;
    }
    msgpack::sbuffer buf;
    msgpack::pack(buf, encoded);
    return {buf.data(), buf.size()};
}

std::optional<JobRecord> decodeRecord(std::string_view bytes, const Base::FailureDomainId &domain,
                                      Base::TimePoint now)
{
    EncodedRecord encoded;
    try {
        msgpack::unpack(bytes.data(), bytes.size()).get().convert(encoded);
    } catch (const std::exception &) {
        return {};
    }
    if (encoded.state > static_cast<std::uint8_t>(RequestState::NotRun))
        return {};
    JobRecord record;
    record.id = {Base::TeamId(encoded.team), Base::RequestKey(encoded.key)};
    record.shard = {domain, Base::ShardIndex(encoded.shard)};
    record.epoch = Base::Epoch(encoded.epoch);
    record.serial = encoded.serial;
    record.kind = Base::KindId(encoded.kind);
    record.isSingle = encoded.isSingle;
    record.isRepeatable = encoded.isRepeatable;
    record.digest = encoded.digest;
    record.payloads = std::move(encoded.payloads);
    record.deadline = now + std::chrono::milliseconds(encoded.remainingMs);
    record.phase = RecordPhase::Replica;
    if (encoded.hasOutcome) {
        RequestView outcome;
        outcome.state = static_cast<RequestState>(encoded.state);
        outcome.failure = Base::failureFromName(encoded.failure);
        outcome.message = encoded.message;
        outcome.results = std::move(encoded.results);
        record.outcome = std::move(outcome);
        record.decidedAt = now;
    }
    return record;
}

} // namespace Jobs
