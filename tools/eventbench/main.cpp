// Measures the cost of recording events and metrics on one thread. Prints one line per operation:
// the median and the best of several rounds in nanoseconds per operation.
#include <base/asiotimers.h>
#include <eventlog/eventring.h>
#include <metrics/metricsregistry.h>
#include <telemetry/jobtelemetry.h>

#include <asio/io_context.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>

static constexpr int ROUNDS = 15;
static constexpr int OPERATIONS_PER_ROUND = 200'000;

template<class Operation>
static void measure(const char *name, Operation operation)
{
    std::array<double, ROUNDS> nsPerOperation{};
    for (double &it : nsPerOperation) {
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; i < OPERATIONS_PER_ROUND; ++i) {
            operation(i);
            // Keeps the compiler from merging the operations of several iterations.
            std::atomic_signal_fence(std::memory_order_seq_cst);
        }
        const auto elapsed = std::chrono::steady_clock::now() - start;
        it = std::chrono::duration<double, std::nano>(elapsed).count() / OPERATIONS_PER_ROUND;
    }
    std::sort(nsPerOperation.begin(), nsPerOperation.end());
    fmt::print("{:<28} median {:7.1f} ns  best {:7.1f} ns\n", name, nsPerOperation[ROUNDS / 2],
               nsPerOperation.front());
}

static void measureEvents()
{
    EventLog::HybridClock clock;
    EventLog::EventRing ring(Base::DaemonId("entry-1"), clock, 32'768);
    const Base::RequestId request{Base::TeamId("kalkan"),
                                  Base::RequestKey("medeu:5f3a9a52-93b1-4c1e-9f0e-0d2f6f1f5a11")};
    const Base::RequestId longRequest{request.team, Base::RequestKey(std::string(200, 'k'))};
    const Base::UpstreamId upstream("worker-17");
    const Base::ShardId shard{Base::FailureDomainId("medeu"), Base::ShardIndex(3)};
    EventLog::EventInfo info{EventLog::EventType::Started, &request, {}, &upstream, &shard};
    info.epoch = Base::Epoch(12);
    measure("event, all fields", [&](int i) {
        info.task = Base::TaskIndex(static_cast<std::uint64_t>(i));
        ring.record(info);
    });
    info.request = &longRequest;
    measure("event, key of 200 bytes", [&](int) { ring.record(info); });
    measure("event, no request", [&](int) { ring.record({EventLog::EventType::LeaseGained}); });
    measure("stamp only", [&](int) { clock.tick(); });
}

static void measureMetrics()
{
    Metrics::MetricsRegistry registry;
    Metrics::Counter counter = registry.counter("bench_starts", "Starts.", {.kind = "probe"});
    Metrics::Histogram histogram =
        registry.histogram("bench_run_seconds", "Run time.", {.kind = "probe"});
    measure("counter", [&](int) { counter.add(); });
    measure("histogram", [&](int i) {
        histogram.observe(std::chrono::microseconds(100 + 37LL * i % 1'000'000));
    });
    measure("lookup and counter",
            [&](int) { registry.counter("bench_starts", "Starts.", {.kind = "probe"}).add(); });
}

/// Cost of the observer calls that the jobs library makes for each task.
static void measureTasks()
{
    asio::io_context io(1);
    const Base::AsioTimers timers(io);
    EventLog::HybridClock clock;
    EventLog::EventRing ring(Base::DaemonId("entry-1"), clock, 100'000);
    Metrics::MetricsRegistry metrics;
    Telemetry::JobTelemetry telemetry(ring, metrics, timers);
    const Base::UpstreamId upstream("worker-17");
    Jobs::JobRecord record;
    record.id = {Base::TeamId("kalkan"),
                 Base::RequestKey("medeu:5f3a9a52-93b1-4c1e-9f0e-0d2f6f1f5a11")};
    record.kind = Base::KindId("audit");
    record.shard = {Base::FailureDomainId("medeu"), Base::ShardIndex(3)};
    record.epoch = Base::Epoch(12);
    record.acceptedAt = timers.now();
    record.tasks.resize(1);
    record.tasks[0].upstream = upstream;
    record.tasks[0].startedAt = timers.now();
    record.outcome = Jobs::RequestView{Jobs::RequestState::Complete, {}, {}, {}};
    Jobs::JobObserver unrecorded;
    for (Jobs::JobObserver *it : {&unrecorded, static_cast<Jobs::JobObserver *>(&telemetry)}) {
        fmt::print("{}\n", it == &unrecorded ? "without recording:" : "with recording:");
        measure("task started", [&](int) { it->taskStarted(record, 0, upstream); });
        measure("task ended", [&](int) { it->taskEnded(record, 0, Base::FailureCode::None); });
        measure("request decided", [&](int) { it->requestDecided(record); });
    }
}

int main()
{
    measureEvents();
    measureMetrics();
    measureTasks();
    return 0;
}
