// Arrivals, service times and upstreams of one experiment, the same for every policy and the ideal.
#pragma once

#include <base/timers.h>
#include <manifest/manifest.h>

#include <string>
#include <vector>

namespace SchedulingBench {

enum class Scenario {
    EqualSpeeds,
    Spread,        ///< Speeds from 1 to 4.
    Stragglers,    ///< Spread; two upstreams become 8 times slower for the rest of the run.
    FailingWorker, ///< Spread; one upstream fails every task after 5 ms.
    DeclaredHigh,  ///< Spread; declared run times are 10 times too long.
    DeclaredLow,   ///< Spread; declared run times are 10 times too short.
    Burst,         ///< Spread; 3 times the capacity for 3 s, else the given load.
};

constexpr Scenario ALL_SCENARIOS[] = {
    Scenario::EqualSpeeds,  Scenario::Spread,      Scenario::Stragglers, Scenario::FailingWorker,
    Scenario::DeclaredHigh, Scenario::DeclaredLow, Scenario::Burst};
std::string scenarioName(Scenario scenario);

/// One request; a single request has one task.
struct Request
{
    Base::Duration arrival; // since the start of the run
    Base::Duration deadline;
    std::size_t team = 0;
    bool single = false;
    std::vector<double> workMs; // run time of each task on an upstream of speed 1
};

struct Upstream
{
    double speed = 1;
    bool straggler = false;
    bool fails = false;

    double speedAt(Base::Duration time) const;
};

struct Deployment
{
    std::string name;
    int workersPerRack = 6;
    double singleShare = 0.2; // of the work
    std::size_t minTasks = 20;
    std::size_t maxTasks = 200;
    double singleWorkMs = 150; // median at speed 1
    double taskWorkMs = 250;
    Base::Duration singleDeadline;
    Base::Duration jobDeadline;
};

Deployment kalkan();
Deployment cevallos();

struct Workload
{
    static constexpr int UPSTREAMS = 50;
    static constexpr std::uint32_t SLOTS = 8;
    static constexpr std::size_t TEAMS = 20;
    /// Requests that arrive before this are not counted, as estimates are learned.
    static constexpr std::chrono::seconds WARM_UP_S{2};
    static constexpr std::chrono::seconds BURST_START_S{4};
    static constexpr std::chrono::seconds BURST_END_S{7};
    /// After the last arrival, for what is still in flight.
    static constexpr std::chrono::seconds RUN_S{32};

    Scenario scenario = Scenario::Spread;
    double load = 0.8;
    double capacity = 0; // work in ms per ms
    /// Period of arrivals. Above the capacity the queues fill up to the deadline of jobs first.
    Base::Duration arrivals;
    Base::Duration goodputStart; // answers from here to the end of arrivals count for goodput
    Manifest::Manifest manifest;
    std::vector<Upstream> upstreams;
    std::vector<Request> requests; // by arrival
};

Workload makeWorkload(const Deployment &deployment, Scenario scenario, double load,
                      std::uint64_t seed);

} // namespace SchedulingBench
