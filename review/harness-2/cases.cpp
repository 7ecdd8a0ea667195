// The cases of the review: load, disruption and verdict.
#include "cases.h"

#include "deployment.h"

#include <csignal>

namespace Review {

static constexpr Milliseconds START_LIMIT_MS{20'000};
static constexpr Milliseconds RETRANSMIT_MS{1300};
static constexpr int PASSED = 0;
static constexpr int BROKEN = 1;
static constexpr int NOT_RUN = 2;

static const ExecutorKind SMALL_KIND{"a", 16000, 65536};
static const ExecutorKind LARGE_KIND{"b", 24000, 65536};

/// Clients that send a job after the other, as PROTOCOL.md describes them.
class Load
{
public:
    Load(Deployment &deployment, std::function<Job()> makeJob)
        : m_deployment(deployment)
        , m_makeJob(std::move(makeJob))
    {}

    void start(std::size_t clients)
    {
        for (std::size_t i = 0; i < clients; ++i)
            next(i);
    }
    void stop() { m_isStopped = true; }

private:
    void next(std::size_t client)
    {
        if (m_isStopped)
            return;
        Job job = m_makeJob();
        job.id = m_deployment.makeJobId();
        send(client, job, client % m_daemonCount, 3);
    }

    void send(std::size_t client, const Job &job, std::size_t daemon, int attempts)
    {
        m_deployment.submit(daemon, job, [=, this](int status, const std::string &) {
            const bool isRepeated = status == 0 || status == 502 || status == 504;
            if (isRepeated && attempts > 1) {
                m_deployment.at(RETRANSMIT_MS, [=, this] {
                    send(client, job, (daemon + 1) % m_daemonCount, attempts - 1);
                });
                return;
            }
            m_deployment.at(Milliseconds(status == 200 ? 5 : 100), [=, this] { next(client); });
        });
    }

    Deployment &m_deployment;
    const std::function<Job()> m_makeJob;
    const std::size_t m_daemonCount = 2;
    bool m_isStopped = false;
};

/// An executor of a large kind crashes and starts again, under its id and at its address, as one
/// of a small kind.
static int runOtherKind(Deployment &it, bool hasTrouble)
{
    static constexpr std::size_t EXECUTORS = 18;
    static constexpr std::size_t RESTARTED = 9;
    static constexpr Milliseconds DOWNTIME_MS{700};
    static constexpr Milliseconds PAUSE_MS{3100}; // longer than contactMs
    for (std::size_t i = 0; i < 2; ++i)
        it.startDaemon(it.addDaemon("zone-1"));
    for (std::size_t i = 0; i < EXECUTORS; ++i)
        it.executors.add("zone-1", "r1-" + std::to_string(i / 6 + 1),
                         i < RESTARTED ? LARGE_KIND : SMALL_KIND);
    it.writeDesiredState();
    if (!it.waitForService(START_LIMIT_MS))
        return NOT_RUN;
    Load load(it, [] {
        Job job;
        job.steps = {{2, 6800, 64, 200, 200, "", 0, {}}};
        return job;
    });
    load.start(40);
    it.runFor(Milliseconds(2000));
    for (std::size_t executor = 0; executor < RESTARTED; ++executor) {
        if (hasTrouble) {
            it.executors.crash(executor);
            it.at(DOWNTIME_MS, [&it, executor] { it.executors.restart(executor, SMALL_KIND); });
        }
        it.runFor(PAUSE_MS);
    }
    load.stop();
    it.runFor(Milliseconds(2000));
    return it.record.isBroken("LIMIT") ? BROKEN : PASSED;
}

/// Accepts connections and resets each of them when its first bytes arrive.
class ResettingRelay
{
public:
    explicit ResettingRelay(asio::io_context &io)
        : m_port(freePort())
        , m_acceptor(io, tcp::endpoint(asio::ip::make_address(LOOPBACK), m_port))
    {
        accept();
    }
    std::uint16_t port() const { return m_port; }

private:
    void accept()
    {
        m_acceptor.async_accept([this](const asio::error_code &ec, tcp::socket socket) {
            if (ec)
                return;
            const auto peer = std::make_shared<tcp::socket>(std::move(socket));
            peer->async_wait(tcp::socket::wait_read, [peer](const asio::error_code &) {
                asio::error_code ignored;
                peer->set_option(asio::socket_base::linger(true, 0), ignored);
                peer->close(ignored);
            });
            accept();
        });
    }

    const std::uint16_t m_port;
    tcp::acceptor m_acceptor;
};

/// The connection of a client's POST is reset. The client sends the job again 1.3 s later, and
/// reaches another daemon. It cancels the job over a new connection, which leads to the first one.
static int runCancelElsewhere(Deployment &it, bool hasTrouble)
{
    static constexpr std::size_t FIRST_DAEMON = 0; // that of the client's hash
    static constexpr std::size_t OTHER_DAEMON = 1;
    static constexpr Milliseconds CANCEL_AFTER_MS{600};
    for (std::size_t i = 0; i < 3; ++i)
        it.startDaemon(it.addDaemon("zone-1"));
    for (std::size_t i = 0; i < 4; ++i)
        it.executors.add("zone-1", "r1-1", SMALL_KIND);
    it.writeDesiredState();
    if (!it.waitForService(START_LIMIT_MS))
        return NOT_RUN;
    it.runFor(Milliseconds(4000));
    ResettingRelay relay(it.io);
    Job job;
    job.id = it.makeJobId();
    job.queue = "audit";
    job.deadlineMs = 30000;
    job.steps = {{2, 6800, 64, 4500, 4500, "", 0, {}}, {2, 6800, 64, 2000, 2000, "", 0, {0}}};
    bool isAnswered = false;
    const auto acknowledged = [&it, id = job.id](int status) {
        if (status / 100 == 2 || status == 410)
            it.executors.job(id).cancelled = Clock::now();
    };
    const auto cancelLater = [&] {
        it.at(CANCEL_AFTER_MS, [&] { it.cancel(FIRST_DAEMON, job.id, acknowledged); });
    };
    const auto answered = [&](int, const std::string &) { isAnswered = true; };
    if (hasTrouble) {
        it.submit(
            FIRST_DAEMON, job,
            [&](int, const std::string &) {
                it.at(RETRANSMIT_MS, [&] {
                    it.submit(OTHER_DAEMON, job, answered);
                    cancelLater();
                });
            },
            relay.port());
    } else {
        it.submit(FIRST_DAEMON, job, answered);
        cancelLater();
    }
    it.runUntil([&] { return isAnswered; }, Milliseconds(20'000));
    it.runFor(Milliseconds(1000));
    if (!it.executors.job(job.id).isCancelled())
        return NOT_RUN;
    return it.record.isBroken("UNASKED") ? BROKEN : PASSED;
}

/// The desired state drops the queue of a job that runs, and the client cancels the job then.
static int runCancelDropped(Deployment &it, bool hasTrouble)
{
    static constexpr Milliseconds CHANGE_AFTER_MS{300};
    static constexpr Milliseconds CANCEL_AFTER_MS{2600}; // longer than configApplyMs after that
    static constexpr Milliseconds RETRY_MS{500};
    static constexpr Milliseconds ACK_MS{4000};
    for (std::size_t i = 0; i < 2; ++i)
        it.startDaemon(it.addDaemon("zone-1"));
    for (std::size_t i = 0; i < 4; ++i)
        it.executors.add("zone-1", "r1-1", SMALL_KIND);
    it.writeDesiredState();
    if (!it.waitForService(START_LIMIT_MS))
        return NOT_RUN;
    it.runFor(Milliseconds(4000));
    Job job;
    job.id = it.makeJobId();
    job.queue = "audit";
    job.deadlineMs = 40000;
    for (std::uint32_t i = 0; i < 4; ++i) {
        job.steps.push_back({2, 6800, 64, 4000, 4000, "", 0, {}});
        if (i > 0)
            job.steps.back().after = {i - 1};
    }
    bool isAnswered = false;
    it.submit(0, job, [&](int, const std::string &) { isAnswered = true; });
    if (hasTrouble)
        it.at(CHANGE_AFTER_MS, [&it] { it.writeDesiredState("audit"); });
    Clock::time_point requested;
    const std::function<void()> cancel = [&] {
        it.cancel(0, job.id, [&](int status) {
            if (status / 100 == 2 || status == 410)
                it.executors.job(job.id).cancelled = Clock::now();
            else if (!isAnswered)
                it.at(RETRY_MS, cancel);
        });
    };
    it.at(CANCEL_AFTER_MS, [&] {
        requested = Clock::now();
        cancel();
    });
    it.at(CANCEL_AFTER_MS + ACK_MS, [&] {
        Job &sent = it.executors.job(job.id);
        if (sent.isCancelled())
            return;
        it.record.note("no acknowledgement of the cancelling after ackMs");
        sent.cancelled = requested + ACK_MS;
    });
    it.runUntil([&] { return isAnswered; }, Milliseconds(30'000));
    it.runFor(Milliseconds(1000));
    if (!it.executors.job(job.id).isCancelled())
        return NOT_RUN;
    return it.record.isBroken("UNASKED") ? BROKEN : PASSED;
}

/// The connection of a client's POST is reset; the client sends the job again, and cancels it. A
/// copy of the request arrives seconds after the answer.
static int runLateCopy(Deployment &it, bool hasTrouble)
{
    static constexpr Milliseconds CANCEL_AFTER_MS{600};
    static constexpr Milliseconds COPY_AFTER_MS{3500}; // after the answer to the POST
    for (std::size_t i = 0; i < 3; ++i)
        it.startDaemon(it.addDaemon("zone-1"));
    for (std::size_t i = 0; i < 4; ++i)
        it.executors.add("zone-1", "r1-1", SMALL_KIND);
    it.writeDesiredState();
    if (!it.waitForService(START_LIMIT_MS))
        return NOT_RUN;
    it.runFor(Milliseconds(4000));
    ResettingRelay relay(it.io);
    Job job;
    job.id = it.makeJobId();
    job.queue = "audit";
    job.deadlineMs = 10000;
    job.steps = {{2, 6800, 64, 1500, 1500, "", 0, {}}};
    bool isAnswered = false;
    const auto submitAndCancel = [&](std::size_t daemon) {
        it.submit(daemon, job, [&, daemon](int status, const std::string &) {
            isAnswered = true;
            if (!hasTrouble || status / 100 != 2)
                return;
            it.at(COPY_AFTER_MS,
                  [&, daemon] { it.submit(daemon, job, [](int, const std::string &) {}); });
        });
        it.at(CANCEL_AFTER_MS, [&it, &job, daemon] {
            it.cancel(daemon, job.id, [&it, id = job.id](int status) {
                if (status / 100 == 2 || status == 410)
                    it.executors.job(id).cancelled = Clock::now();
            });
        });
    };
    if (hasTrouble) {
        it.submit(
            0, job,
            [&](int, const std::string &) { it.at(RETRANSMIT_MS, [&] { submitAndCancel(1); }); },
            relay.port());
    } else {
        submitAndCancel(0);
    }
    it.runUntil([&] { return isAnswered; }, Milliseconds(20'000));
    it.runFor(COPY_AFTER_MS + Milliseconds(4000));
    if (!isAnswered || !it.executors.job(job.id).isCancelled())
        return NOT_RUN;
    return it.record.isBroken("UNASKED") ? BROKEN : PASSED;
}

/// Many users keep connections open to one daemon. A client's connection to it waits to be
/// accepted; the client gives up at its deadline, and sends the job again to another daemon. Then
/// some of the users leave, and the first daemon accepts the connection that its client has closed.
static int runManyUsers(Deployment &it, bool hasTrouble)
{
    static constexpr std::size_t USERS = 1000;
    static constexpr std::size_t LEAVING_USERS = 3;
    static constexpr int ROUNDS = 5;
    static constexpr std::uint32_t DEADLINE_MS = 2000;
    static constexpr Milliseconds LEAVE_AFTER_MS{300}; // after the second POST
    static constexpr Milliseconds ROUND_END_MS{4000};
    static const char *const ZONES[] = {"zone-1", "zone-2"};
    for (std::size_t i = 0; i < 4; ++i)
        it.startDaemon(it.addDaemon(ZONES[i % 2]));
    for (std::size_t i = 0; i < 8; ++i)
        it.executors.add(ZONES[i % 2], "r1-" + std::to_string(i % 2 + 1), SMALL_KIND);
    it.writeDesiredState();
    if (!it.waitForService(START_LIMIT_MS))
        return NOT_RUN;
    it.runFor(Milliseconds(3000));
    std::vector<std::unique_ptr<tcp::socket>> users;
    const tcp::endpoint endpoint(asio::ip::make_address(LOOPBACK), it.daemon(0).callers);
    for (int round = 0; round < ROUNDS; ++round) {
        while (hasTrouble && users.size() < USERS) {
            users.push_back(std::make_unique<tcp::socket>(it.io));
            users.back()->connect(endpoint);
        }
        it.runFor(Milliseconds(500));
        Job job;
        job.id = it.makeJobId();
        job.deadlineMs = DEADLINE_MS;
        job.steps = {{2, 6800, 64, 900, 1500, "", 0, {}}};
        bool isAnswered = false;
        const auto answered = [&](int, const std::string &) { isAnswered = true; };
        const auto call = it.submit(0, job, answered);
        it.runUntil([&] { return isAnswered; }, Milliseconds(DEADLINE_MS));
        if (!isAnswered) {
            it.record.note("no answer to POST " + job.id + " in time; the client gives up");
            call->abandon();
            it.runFor(RETRANSMIT_MS);
            it.submit(1, job, answered);
            it.runFor(LEAVE_AFTER_MS);
            it.record.note(std::to_string(LEAVING_USERS) + " users leave");
            users.resize(users.size() - std::min(users.size(), LEAVING_USERS));
        }
        it.runUntil([&] { return isAnswered; }, ROUND_END_MS);
    }
    return it.record.isBroken("TWICE") ? BROKEN : PASSED;
}

/// A client sends two jobs over one connection without waiting for the first response. The
/// connection is reset, and the client sends both again 1.3 s later, over connections of their own
/// to another daemon.
static int runResetPipelined(Deployment &it, bool hasTrouble)
{
    static constexpr Milliseconds RESET_AFTER_MS{300};
    static constexpr int ROUNDS = 4;
    static const char *const ZONES[] = {"zone-1", "zone-2"};
    for (std::size_t i = 0; i < 4; ++i)
        it.startDaemon(it.addDaemon(ZONES[i % 2]));
    for (std::size_t i = 0; i < 8; ++i)
        it.executors.add(ZONES[i % 2], "r1-" + std::to_string(i % 2 + 1), SMALL_KIND);
    it.writeDesiredState();
    if (!it.waitForService(START_LIMIT_MS))
        return NOT_RUN;
    it.runFor(Milliseconds(3000));
    for (int round = 0; round < ROUNDS; ++round) {
        std::vector<Job> jobs(2);
        for (Job &job : jobs) {
            job.id = it.makeJobId();
            job.steps = {{2, 6800, 64, 2500, 2500, "", 0, {}}};
        }
        const auto answers = std::make_shared<std::size_t>(0);
        const auto answered = [answers](int, const std::string &) { ++*answers; };
        const auto call = it.submitPipelined(0, jobs, answered);
        if (hasTrouble) {
            it.runFor(RESET_AFTER_MS);
            it.record.note("the connection is reset");
            call->reset();
            it.runFor(RETRANSMIT_MS);
            for (const Job &job : jobs)
                it.submit(1, job, answered);
        }
        it.runUntil([&] { return *answers == jobs.size(); }, Milliseconds(12'000));
    }
    return it.record.isBroken("TWICE") ? BROKEN : PASSED;
}

int runCase(const std::string &name, const std::string &recordPath, const std::string &program,
            bool hasTrouble)
{
    Record record(recordPath);
    record.note("case " + name + (hasTrouble ? "" : ", without the disruption"));
    Deployment deployment(record, program);
    int result = NOT_RUN;
    if (name == "other-kind")
        result = runOtherKind(deployment, hasTrouble);
    else if (name == "cancel-elsewhere")
        result = runCancelElsewhere(deployment, hasTrouble);
    else if (name == "cancel-dropped")
        result = runCancelDropped(deployment, hasTrouble);
    else if (name == "late-copy")
        result = runLateCopy(deployment, hasTrouble);
    else if (name == "many-users")
        result = runManyUsers(deployment, hasTrouble);
    else if (name == "reset-pipelined")
        result = runResetPipelined(deployment, hasTrouble);
    record.note("result " + std::to_string(result) + ", "
                + std::to_string(deployment.executors.startCount()) + " starts");
    return result;
}

} // namespace Review
