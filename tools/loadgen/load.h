// Open-loop load on a set of entry daemons.
#pragma once

#include "requestrecord.h"

#include <base/timers.h>
#include <http/client.h>
#include <manifest/manifest.h>

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace LoadGen {

/// A part of the mix.
struct MixEntry
{
    std::string kind;
    double weight = 1;
    std::size_t tasks = 1;
    double runMs = 50; // of each task on an executor of speed 1
};

struct LoadOptions
{
    std::vector<std::string> callers; // http://address:port of each entry daemon
    std::vector<MixEntry> mix;
    std::string team;
    std::string keyPrefix;
    double rate = 10; // requests/s
    std::chrono::milliseconds duration{1000};
    double resubmitFraction = 0; // of the requests, sent again to another daemon
    double cancelFraction = 0;   // of the requests
    std::uint64_t seed = 1;
};

constexpr std::size_t MAX_REQUESTS = 1'000'000;
constexpr std::chrono::hours MAX_DURATION_H{1};

/// Parses "kind:weight:tasks:runMs,...". Throws std::invalid_argument.
std::vector<MixEntry> parseMix(const std::string &text);

/// Sends requests at exponentially distributed intervals, whether or not earlier ones are answered.
/// Lives on the loop of \a client; ends after the duration and the last answer or time-out.
class Load
{
public:
    Load(Base::Timers &timers, Http::Client &client, const Manifest::Manifest &manifest,
         LoadOptions options);

    void start();
    bool isDone() const { return m_isSent && m_openCount == 0; }
    const std::vector<RequestRecord> &records() const { return m_records; }
    /// Withdraws the entry daemon \a index from the targets of further requests.
    void removeCaller(std::size_t index);

private:
    void sendNext();
    void submit(std::size_t index);
    void cancel(std::size_t index);
    const std::string &nextCaller();

    Base::Timers &m_timers;
    Http::Client &m_client;
    const Manifest::Manifest &m_manifest;
    LoadOptions m_options;
    std::mt19937_64 m_random;
    std::vector<RequestRecord> m_records;
    Base::TimePoint m_end;
    Base::TimePoint m_due; // of the next request; sending late does not lower the rate
    std::size_t m_lastCaller = 0;
    std::size_t m_openCount = 0; // scheduled or awaiting an answer
    bool m_isSent = false;
};

/// The body of a submission; each payload carries its index.
std::string makeBody(const RequestRecord &record, const std::string &team);
/// Reads a caller's answer and compares the results with the payloads.
Answer readAnswer(const Http::ClientResponse &response, const RequestRecord &record);

} // namespace LoadGen
