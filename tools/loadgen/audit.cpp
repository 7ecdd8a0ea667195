// Rules of the audit.
#include "audit.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>

namespace LoadGen {

using nlohmann::json;

static constexpr std::chrono::seconds AUDIT_TIMEOUT_S{10};

static bool addRecords(const Http::ClientResponse &response, WorkerRecords &records)
{
    if (!response.status.ok() || response.httpStatus != 200)
        return false;
    const json body = json::parse(response.body, nullptr, false);
    if (!body.is_object())
        return false;
    for (const json &task : body.at("tasks"))
        records.starts[task.at("task")] += task.at("starts").get<std::uint64_t>();
    for (const auto &[name, count] : body.at("messages").items())
        records.messages[name] += count.get<std::int64_t>();
    return true;
}

void fetchWorkerRecords(Http::Client &client, const Manifest::Manifest &manifest,
                        std::function<void(WorkerRecords)> done)
{
    struct Progress
    {
        WorkerRecords records;
        std::size_t open = 0;
    };
    auto progress = std::make_shared<Progress>();
    progress->open = manifest.upstreams.size();
    for (const auto &[id, upstream] : manifest.upstreams) {
        Http::ClientRequest request;
        request.url = upstream.url + "/v1/audit";
        request.timeout = AUDIT_TIMEOUT_S;
        client.send(request, [progress, done](const Http::ClientResponse &response) {
            if (!addRecords(response, progress->records))
                ++progress->records.unreachable;
            if (--progress->open == 0)
                done(std::move(progress->records));
        });
    }
}

double Audit::workerRequestsPerTask() const
{
    return startedTasks == 0 ? 0 : double(workerRequests) / double(startedTasks);
}

double Audit::wastedPerAnsweredRequest() const
{
    return answeredRequests == 0 ? 0 : double(wastedMessages) / double(answeredRequests);
}

static void auditRequest(const RequestRecord &record, const std::string &team,
                         const WorkerRecords &after, Audit &audit)
{
    std::uint64_t starts = 0;
    for (std::size_t i = 0; i < record.tasks; ++i) {
        const std::string task = team + "/" + record.key + "#" + std::to_string(i);
        const auto it = after.starts.find(task);
        if (it == after.starts.end())
            continue;
        starts += it->second;
        if (it->second > 1 && record.isSingleStart)
            audit.doubleStarts.push_back(task);
    }
    audit.startedTasks += starts;
    const auto has = [&record](Outcome outcome) {
        return std::any_of(record.answers.begin(), record.answers.end(),
                           [outcome](const Answer &it) { return it.outcome == outcome; });
    };
    const bool isComplete = has(Outcome::Complete);
    const bool isFailed = has(Outcome::Failed);
    // A submission without an outcome, or with another one, may have run what this one did not.
    const bool isOnlyNotRun =
        !record.answers.empty()
        && std::all_of(record.answers.begin(), record.answers.end(),
                       [](const Answer &it) { return it.outcome == Outcome::NotRun; });
    if (isComplete || isFailed || has(Outcome::NotRun))
        ++audit.answeredRequests;
    if (isOnlyNotRun && starts > 0)
        audit.falseNotRun.push_back(record.key);
    if (isComplete && isFailed && record.isSingleStart)
        audit.conflictingAnswers.push_back(record.key);
    const bool isWrong = std::any_of(record.answers.begin(), record.answers.end(),
                                     [](const Answer &it) { return !it.isIntact; });
    // A job is complete only if each of its tasks ran, as far as all executors could be asked.
    const bool isUnstarted = isComplete && starts < record.tasks && after.unreachable == 0;
    if (isWrong || isUnstarted)
        audit.wrongAnswers.push_back(record.key);
}

Audit makeAudit(const std::vector<RequestRecord> &records, const std::string &team,
                const WorkerRecords &before, const WorkerRecords &after)
{
    Audit audit;
    audit.unreachable = after.unreachable;
    for (const RequestRecord &it : records)
        auditRequest(it, team, after, audit);
    for (const auto &[name, count] : after.messages) {
        const auto earlier = before.messages.find(name);
        audit.messages[name] = count - (earlier == before.messages.end() ? 0 : earlier->second);
    }
    for (const char *it : {"start", "query", "revoke", "stop", "fence"})
        audit.workerRequests += std::max<std::int64_t>(0, audit.messages[it]);
    // A duplicate start is also counted as refused.
    for (const char *it : {"refusedStart", "uselessStop", "revoke", "fence", "query"})
        audit.wastedMessages += std::max<std::int64_t>(0, audit.messages[it]);
    return audit;
}

} // namespace LoadGen
