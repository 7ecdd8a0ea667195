// What a caller sent and was answered.
#pragma once

#include <base/timers.h>

#include <string>
#include <vector>

namespace LoadGen {

enum class Outcome { Complete, Failed, NotRun, Pending, Error };
constexpr std::size_t OUTCOME_COUNT = 5;
const char *outcomeName(Outcome outcome);

struct Answer
{
    Outcome outcome = Outcome::Error;
    bool isIntact = true; // false if a complete answer lacks a result or has a wrong one
    std::string failure;  // code, or the transport's error
    Base::Duration time{0};
};

/// One key with all answers to its submissions.
struct RequestRecord
{
    std::string key;
    std::string kind;
    std::size_t tasks = 1;
    double runMs = 50;
    bool isSingleStart = false; // a job or non-repeatable: no task may start twice
    bool isCancelled = false;
    std::size_t submissions = 0;
    std::vector<Answer> answers;
};

} // namespace LoadGen
