// Texts of the crowds, and measurement.
#include "crowds.h"

#include "../support/processusage.h"

namespace Soak {

using TestSupport::SharedText;

/// Below the limits that the desired state gives a body, and a header.
static constexpr std::size_t BODY_BYTES = 250'000;
static constexpr std::size_t REPETITIONS = 10'000; // of requests whose answers are not read
static constexpr Milliseconds MEASURING_MS{100};
static constexpr const char *HOST = "soak.example";

Crowds::Crowds(asio::io_context &io, Base::Timers &timers, const Daemons &daemons, Journal &journal)
    : m_io(io)
    , m_timers(timers)
    , m_daemons(daemons)
    , m_journal(journal)
{}

void Crowds::watchMemory()
{
    for (std::size_t i = 0; i < m_daemons.count(); ++i) {
        const auto process = m_daemons.processId(i);
        if (!process)
            continue;
        const std::size_t residentKb = TestSupport::statusKb(*process, "VmRSS");
        const std::size_t unreadKb = TestSupport::unreadBytes(*process) / 1024;
        const std::pair daemon(i, m_daemons.generation(i));
        if (residentKb + unreadKb > MEMORY_MB * 1024 && m_found.insert(daemon).second) {
            m_journal.find(fmt::format("{} takes {} KiB, and {} KiB are not read",
                                       m_daemons.nameOf(i), residentKb, unreadKb));
        }
    }
    m_timers.schedule(MEASURING_MS, [this] { watchMemory(); });
}

static SharedText text(std::string it)
{
    return std::make_shared<const std::string>(std::move(it));
}

std::vector<SharedText> Crowds::partsOf(CrowdForm form, std::size_t connection)
{
    static const std::string STEP =
        R"({"spec":"crowd","bestEffort":true,"phases":[{"count":1,"requirements":")";
    static const std::string END = R"("}]})";
    static const SharedText BODY =
        text(STEP + std::string(BODY_BYTES - STEP.size() - END.size(), 'x') + END);
    static const SharedText PART = text(BODY->substr(0, BODY->size() - 1));
    static const SharedText STATUS =
        text(fmt::format("GET /batch/ HTTP/1.1\r\nHost: {}\r\n\r\n", HOST));
    const auto header = [this] {
        return text(fmt::format("POST /batch/c0{:014x} HTTP/1.1\r\nHost: {}\r\n"
                                "Content-Length: {}\r\n\r\n",
                                ++m_jobs, HOST, BODY_BYTES));
    };
    switch (form) {
    case CrowdForm::UnfinishedBodies:
        return {header(), PART};
    case CrowdForm::JobsWithoutRun:
        return {header(), BODY, header(), BODY};
    case CrowdForm::UnfinishedHeaders:
        return {text(connection % 2 == 0 ? STATUS->substr(0, STATUS->size() - 2) : "")};
    case CrowdForm::UnreadAnswers:
        return {STATUS};
    case CrowdForm::Count:
        break;
    }
    return {};
}

void Crowds::send(std::size_t daemon, CrowdForm form, std::size_t connections,
                  Milliseconds duration)
{
    m_crowds.emplace_back();
    const auto crowd = std::prev(m_crowds.end());
    for (std::size_t i = 0; i < connections && m_daemons.isRunning(daemon); ++i)
        crowd->emplace_back(m_io, m_daemons.callerPort(daemon), partsOf(form, i),
                            form == CrowdForm::UnreadAnswers ? REPETITIONS : 1);
    m_timers.schedule(duration, [this, crowd] { m_crowds.erase(crowd); });
}

} // namespace Soak
