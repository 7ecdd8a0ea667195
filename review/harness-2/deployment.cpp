// Processes, settings and requests.
#include "deployment.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>

namespace Review {

using nlohmann::json;

static constexpr char HOST[] = "review.example";

Deployment::Deployment(Record &caseRecord, std::string program)
    : record(caseRecord)
    , store(io)
    , executors(io, store, caseRecord)
    , m_program(std::move(program))
    , m_folder((std::filesystem::temp_directory_path() / "review-2.XXXXXX").string())
{
    if (!mkdtemp(m_folder.data()))
        throw std::runtime_error("can't create a temporary folder");
}

Deployment::~Deployment()
{
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        if (m_daemons[i].pid != 0) {
            ::kill(m_daemons[i].pid, SIGKILL);
            ::waitpid(m_daemons[i].pid, nullptr, 0);
        }
    }
    std::error_code ec;
    std::filesystem::remove_all(m_folder, ec);
}

std::size_t Deployment::addDaemon(const std::string &zone)
{
    Daemon it;
    it.name = "edge-" + zone + "-" + std::to_string(m_daemons.size());
    it.zone = zone;
    it.callers = freePort();
    it.readiness = freePort();
    it.peers = freePort();
    it.operators = freePort();
    m_daemons.push_back(it);
    return m_daemons.size() - 1;
}

/// The settings are those that the platform renders from deploy/settings.json.in.
void Deployment::startDaemon(std::size_t index)
{
    Daemon &it = m_daemons[index];
    const auto endpoint = [](std::uint16_t port) {
        return std::string(LOOPBACK) + ":" + std::to_string(port);
    };
    const std::string settings = m_folder + "/" + it.name + ".json";
    std::ofstream(settings) << json({{"daemon", it.name},
                                     {"failureDomain", it.zone},
                                     {"address", LOOPBACK},
                                     {"peerPort", it.peers},
                                     {"operatorPort", it.operators},
                                     {"callers", endpoint(it.callers)},
                                     {"readiness", endpoint(it.readiness)},
                                     {"store", endpoint(store.port())},
                                     {"orders", "invocation"},
                                     {"graceSeconds", 6},
                                     {"executorDrainMs", 2000},
                                     {"leaseMs", 1000},
                                     {"cpuShare", 0.25},
                                     {"cores", 1},
                                     {"logLevel", "info"}})
                                   .dump();
    const std::string log = m_folder + "/" + it.name + ".log";
    const pid_t pid = fork();
    if (pid < 0)
        throw std::runtime_error("can't start a process");
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // if this program is ended from outside
        const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        for (int other = 3; other < 1024; ++other)
            ::close(other);
        setenv("ENDIVEPATH_SETTINGS", settings.c_str(), 1);
        execl(m_program.c_str(), m_program.c_str(), "--platform", nullptr);
        _exit(127);
    }
    it.pid = pid;
    record.note("daemon " + it.name + " started");
}

void Deployment::signalDaemon(std::size_t index, int signal)
{
    Daemon &it = m_daemons[index];
    if (it.pid == 0)
        return;
    record.note("signal " + std::to_string(signal) + " to daemon " + it.name);
    ::kill(it.pid, signal);
    if (signal == SIGTERM)
        it.isStopped = true;
    if (signal == SIGKILL) {
        ::waitpid(it.pid, nullptr, 0);
        it.pid = 0;
    }
}

int Deployment::unexpectedEnds()
{
    int n = 0;
    for (Daemon &it : m_daemons) {
        if (it.pid == 0 || ::waitpid(it.pid, nullptr, WNOHANG) != it.pid)
            continue;
        it.pid = 0;
        if (!it.isStopped) {
            record.note("daemon " + it.name + " ended by itself");
            ++n;
        }
    }
    return n;
}

void Deployment::writeDesiredState(const std::string &dropped)
{
    const auto route = [](const char *queue, int priority) {
        return json{{"name", queue},
                    {"host", HOST},
                    {"pathPrefix", std::string("/") + queue + "/"},
                    {"service", "cellarlog"},
                    {"priority", priority},
                    {"maxAttempts", 3},
                    {"stretch", 1.6},
                    {"targetCompletionMs", 60},
                    {"timeoutMs", 1500}};
    };
    json routes = json::array();
    for (const json &it : {route("probe", 0), route("alarm", 1), route("audit", 2)}) {
        if (it["name"] != dropped)
            routes.push_back(it);
    }
    m_version += 3;
    record.note("desired state " + std::to_string(m_version)
                + (dropped.empty() ? "" : " without the queue " + dropped));
    store.put("op", "config",
              json({{"version", m_version},
                    {"routes", routes},
                    {"services", {{{"name", "cellarlog"}, {"rejectsOverload", false}}}},
                    {"limits", {{"maxBodyBytes", 262144}}}})
                  .dump());
}

static std::string request(const char *method, const std::string &queue, const std::string &id,
                           std::uint32_t deadlineMs, const std::string &body)
{
    return std::string(method) + " /" + queue + "/" + id + " HTTP/1.1\r\nHost: " + HOST
           + "\r\nContent-Type: application/json\r\nEndivepath-Deadline-Ms: "
           + std::to_string(deadlineMs) + "\r\nContent-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

std::string Deployment::encode(const Job &job)
{
    executors.addJob(job);
    json phases = json::array();
    for (const Step &it : job.steps) {
        json step{{"count", it.count},
                  {"cpu", it.cpuMillis},
                  {"memMb", it.memoryMb},
                  {"estimateMs", it.estimateMs}};
        if (!it.requirement.empty())
            step["requirements"] = it.requirement;
        if (it.maxPerExecutor > 0)
            step["maxPerServer"] = it.maxPerExecutor;
        if (!it.after.empty())
            step["after"] = it.after;
        phases.push_back(step);
    }
    const std::string body =
        json({{"spec", job.spec()}, {"phases", phases}, {"bestEffort", true}}).dump();
    return request("POST", job.queue, job.id, job.deadlineMs, body);
}

Call::Done Deployment::answerHandler(const std::string &what,
                                     std::function<void(int, const std::string &)> done)
{
    return [this, what, done = std::move(done)](int status, const std::string &text) {
        const json answer = json::parse(text, nullptr, false);
        const std::string state = answer.is_object() ? answer.value("state", "") : "";
        record.note("answer to POST " + what + ": " + std::to_string(status) + " " + state);
        done(status, state);
    };
}

std::shared_ptr<Call> Deployment::submit(std::size_t daemon, const Job &job,
                                         std::function<void(int, const std::string &)> done,
                                         std::uint16_t relay)
{
    record.note("POST " + job.id + " to " + m_daemons[daemon].name);
    return Call::send(io, relay == 0 ? m_daemons[daemon].callers : relay, encode(job),
                      answerHandler(job.id, std::move(done)));
}

std::shared_ptr<Call>
Deployment::submitPipelined(std::size_t daemon, const std::vector<Job> &jobs,
                            std::function<void(int, const std::string &)> done)
{
    std::string text;
    std::string ids;
    for (const Job &it : jobs) {
        text += encode(it);
        ids += (ids.empty() ? "" : ", ") + it.id;
    }
    record.note("POST " + ids + " over one connection to " + m_daemons[daemon].name);
    return Call::send(io, m_daemons[daemon].callers, text,
                      answerHandler("one of " + ids, std::move(done)), jobs.size());
}

std::shared_ptr<Call> Deployment::cancel(std::size_t daemon, const std::string &job,
                                         std::function<void(int)> done)
{
    record.note("DELETE " + job + " to " + m_daemons[daemon].name);
    return Call::send(io, m_daemons[daemon].callers,
                      request("DELETE", executors.job(job).queue, job, 4000, ""),
                      [this, job, done = std::move(done)](int status, const std::string &) {
                          record.note("answer to DELETE " + job + ": " + std::to_string(status));
                          done(status);
                      });
}

std::string Deployment::makeJobId()
{
    char id[17];
    std::snprintf(id, sizeof id, "%08x%08x", unsigned(getpid()), unsigned(++m_jobs));
    return id;
}

void Deployment::at(Milliseconds delay, std::function<void()> action)
{
    const auto timer = std::make_shared<asio::steady_timer>(io, delay);
    timer->async_wait([timer, action = std::move(action)](const asio::error_code &) { action(); });
}

void Deployment::runFor(Milliseconds duration)
{
    runUntil([] { return false; }, duration);
}

bool Deployment::runUntil(const std::function<bool()> &condition, Milliseconds limit)
{
    const Clock::time_point end = Clock::now() + limit;
    while (!condition()) {
        if (Clock::now() >= end)
            return false;
        io.run_for(Milliseconds(5));
    }
    return true;
}

void Deployment::probe(std::size_t daemon, const std::shared_ptr<std::set<std::size_t>> &served)
{
    Job job;
    job.id = makeJobId();
    job.steps = {{1, 1000, 64, 20, 20, "", 0, {}}};
    submit(daemon, job, [this, daemon, served](int, const std::string &state) {
        if (state == "completed")
            served->insert(daemon);
        else
            at(Milliseconds(200), [this, daemon, served] { probe(daemon, served); });
    });
}

bool Deployment::waitForService(Milliseconds limit)
{
    const auto served = std::make_shared<std::set<std::size_t>>();
    std::size_t asked = 0;
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        if (m_daemons[i].pid != 0) {
            probe(i, served);
            ++asked;
        }
    }
    return runUntil([&] { return served->size() == asked; }, limit);
}

} // namespace Review
