// Measures what recording costs on one thread. Prints one line per operation: the median and the
// best of several rounds in nanoseconds per operation.
#include <eventlog/eventring.h>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>

static constexpr int ROUNDS = 15;
static constexpr int OPERATIONS_PER_ROUND = 200'000;

template<class Operation>
static void measure(const char *name, Operation operation)
{
    std::array<double, ROUNDS> nsPerOperation{};
    for (double &it : nsPerOperation) {
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; i < OPERATIONS_PER_ROUND; ++i)
            operation(i);
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

int main()
{
    measureEvents();
    return 0;
}
