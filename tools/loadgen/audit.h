// Comparison of the callers' answers with the executors' own records.
#pragma once

#include "requestrecord.h"

#include <http/client.h>
#include <manifest/manifest.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace LoadGen {

/// The records of all executors that answered, added up.
struct WorkerRecords
{
    std::map<std::string, std::uint64_t> starts; // task name to starts on all executors
    std::map<std::string, std::int64_t> messages;
    std::size_t unreachable = 0; // executors without an answer
};

/// Asks each upstream of \a manifest for its audit. \a done is called on the client's loop.
void fetchWorkerRecords(Http::Client &client, const Manifest::Manifest &manifest,
                        std::function<void(WorkerRecords)> done);

struct Audit
{
    std::vector<std::string> doubleStarts;       // tasks of jobs and non-repeatable requests
    std::vector<std::string> falseNotRun;        // keys
    std::vector<std::string> wrongAnswers;       // keys with a missing or wrong result
    std::vector<std::string> conflictingAnswers; // keys told both complete and failed
    std::uint64_t startedTasks = 0;
    std::uint64_t workerRequests = 0; // HTTP requests to workers; each has one answer
    std::uint64_t wastedMessages = 0;
    std::uint64_t answeredRequests = 0; // keys with an outcome
    std::map<std::string, std::int64_t> messages;
    std::size_t unreachable = 0;

    bool isClean() const
    {
        return doubleStarts.empty() && falseNotRun.empty() && wrongAnswers.empty()
               && conflictingAnswers.empty();
    }
    double workerRequestsPerTask() const;
    double wastedPerAnsweredRequest() const;
};

/// \a before holds the executors' records from before the load; its messages are subtracted.
Audit makeAudit(const std::vector<RequestRecord> &records, const std::string &team,
                const WorkerRecords &before, const WorkerRecords &after);

} // namespace LoadGen
