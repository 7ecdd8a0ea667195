// Arrival process, submissions and answers.
#include "load.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace LoadGen {

using nlohmann::json;

/// A client gives up this long after the deadline of its request.
static constexpr std::chrono::milliseconds ANSWER_MARGIN_MS{5000};
static constexpr std::chrono::milliseconds CANCEL_TIMEOUT_MS{10'000};
/// Resubmissions follow within this time, so that many of them meet a request that still runs.
static constexpr double MAX_RESUBMIT_DELAY_MS = 200;

const char *outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Complete:
        return "complete";
    case Outcome::Failed:
        return "failed";
    case Outcome::NotRun:
        return "notRun";
    case Outcome::Pending:
        return "pending";
    case Outcome::Error:
        break;
    }
    return "error";
}

std::vector<MixEntry> parseMix(const std::string &text)
{
    std::vector<MixEntry> mix;
    std::stringstream items(text);
    for (std::string item; std::getline(items, item, ',');) {
        std::stringstream parts(item);
        MixEntry entry;
        std::string weight;
        std::string tasks;
        std::string runMs;
        std::getline(parts, entry.kind, ':');
        std::getline(parts, weight, ':');
        std::getline(parts, tasks, ':');
        std::getline(parts, runMs, ':');
        entry.weight = std::stod(weight);
        entry.tasks = std::stoul(tasks);
        entry.runMs = std::stod(runMs);
        if (entry.kind.empty() || !(entry.weight > 0) || entry.tasks < 1 || !(entry.runMs >= 0))
            throw std::invalid_argument("--mix: kind:weight:tasks:runMs expected");
        mix.push_back(entry);
    }
    return mix;
}

std::string makeBody(const RequestRecord &record, const std::string &team)
{
    json tasks = json::array();
    for (std::size_t i = 0; i < record.tasks; ++i)
        tasks.push_back({{"index", i}, {"key", record.key}, {"runMs", record.runMs}});
    return json({{"team", team}, {"key", record.key}, {"kind", record.kind}, {"tasks", tasks}})
        .dump();
}

/// Whether \a results holds the echo of each task's payload in order.
static bool areResultsIntact(const json &body, const RequestRecord &record)
{
    const auto results = body.find("results");
    if (results == body.end() || !results->is_array() || results->size() != record.tasks)
        return false;
    for (std::size_t i = 0; i < record.tasks; ++i) {
        const json &result = (*results)[i];
        const auto echo = result.is_object() ? result.find("echo") : result.end();
        if (!result.is_object() || echo == result.end() || !echo->is_object()
            || echo->value("index", json()) != i || echo->value("key", "") != record.key)
            return false;
    }
    return true;
}

Answer readAnswer(const Http::ClientResponse &response, const RequestRecord &record)
{
    Answer answer;
    if (!response.status.ok()) {
        answer.failure = "transport: " + std::string(response.status.message());
        return answer;
    }
    const json body = json::parse(response.body, nullptr, false);
    if (!body.is_object()) {
        answer.failure = "malformed";
        return answer;
    }
    if (const auto it = body.find("failure"); it != body.end() && it->is_object())
        answer.failure = it->value("code", "");
    const std::string state = body.value("state", "");
    for (const Outcome it :
         {Outcome::Complete, Outcome::Failed, Outcome::NotRun, Outcome::Pending}) {
        if (state == outcomeName(it))
            answer.outcome = it;
    }
    if (answer.outcome == Outcome::Complete)
        answer.isIntact = areResultsIntact(body, record);
    return answer;
}

Load::Load(Base::Timers &timers, Http::Client &client, const Manifest::Manifest &manifest,
           LoadOptions options)
    : m_timers(timers)
    , m_client(client)
    , m_manifest(manifest)
    , m_options(std::move(options))
    , m_random(m_options.seed)
{}

void Load::start()
{
    m_due = m_timers.now();
    m_end = m_due + std::min<Base::Duration>(m_options.duration, MAX_DURATION_H);
    sendNext();
}

void Load::removeCaller(std::size_t index)
{
    m_options.callers[index].clear();
}

const std::string &Load::nextCaller()
{
    // One step more than needed, so that the search ends if all callers are removed.
    for (std::size_t i = 0; i <= m_options.callers.size(); ++i) {
        m_lastCaller = (m_lastCaller + 1) % m_options.callers.size();
        if (!m_options.callers[m_lastCaller].empty())
            break;
    }
    return m_options.callers[m_lastCaller];
}

static Base::Duration milliseconds(double n)
{
    return std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double, std::milli>(n));
}

void Load::sendNext()
{
    if (m_timers.now() >= m_end || m_records.size() >= MAX_REQUESTS) {
        m_isSent = true;
        return;
    }
    std::vector<double> weights;
    for (const MixEntry &it : m_options.mix)
        weights.push_back(it.weight);
    std::discrete_distribution<std::size_t> choice(weights.begin(), weights.end());
    std::uniform_real_distribution<double> unit(0, 1);
    const MixEntry &entry = m_options.mix[choice(m_random)];
    const auto kind = m_manifest.kinds.find(Base::KindId(entry.kind));
    const std::size_t index = m_records.size();
    RequestRecord record;
    record.key = m_options.keyPrefix + std::to_string(index);
    record.kind = entry.kind;
    record.tasks = entry.tasks;
    record.runMs = entry.runMs;
    record.isSingleStart =
        kind != m_manifest.kinds.end() && (kind->second.job || !kind->second.repeatable);
    record.isCancelled = unit(m_random) < m_options.cancelFraction;
    m_records.push_back(record);
    ++m_openCount;
    submit(index);
    if (unit(m_random) < m_options.resubmitFraction) {
        ++m_openCount;
        m_timers.schedule(milliseconds(unit(m_random) * MAX_RESUBMIT_DELAY_MS),
                          [this, index] { submit(index); });
    }
    if (record.isCancelled) {
        ++m_openCount;
        m_timers.schedule(milliseconds(unit(m_random) * entry.runMs),
                          [this, index] { cancel(index); });
    }
    m_due += milliseconds(std::exponential_distribution<double>(m_options.rate)(m_random) * 1000);
    m_timers.schedule(std::max(Base::Duration(0), m_due - m_timers.now()), [this] { sendNext(); });
}

void Load::submit(std::size_t index)
{
    const RequestRecord &record = m_records[index];
    const auto kind = m_manifest.kinds.find(Base::KindId(record.kind));
    Http::ClientRequest request;
    request.method = "POST";
    request.url = nextCaller() + "/v1/requests";
    request.body = makeBody(record, m_options.team);
    request.timeout = ANSWER_MARGIN_MS
                      + (kind == m_manifest.kinds.end() ? ANSWER_MARGIN_MS : kind->second.deadline);
    ++m_records[index].submissions;
    m_client.send(request, [this, index, sent = m_timers.now()](const auto &response) {
        Answer answer = readAnswer(response, m_records[index]);
        answer.time = m_timers.now() - sent;
        m_records[index].answers.push_back(answer);
        --m_openCount;
    });
}

void Load::cancel(std::size_t index)
{
    Http::ClientRequest request;
    request.method = "POST";
    request.url =
        nextCaller() + "/v1/requests/" + m_options.team + "/" + m_records[index].key + "/cancel";
    request.timeout = CANCEL_TIMEOUT_MS;
    m_client.send(request, [this](const auto &) { --m_openCount; });
}

} // namespace LoadGen
