// Request digests and names of request states.
#include "request.h"

#include <base/hash.h>

#include <fmt/format.h>

namespace Jobs {

std::string Submission::computeDigest(const Base::KindId &kind,
                                      const std::vector<std::string> &payloads)
{
    std::string text = kind.value();
    for (const std::string &it : payloads)
        text += fmt::format("\n{}:{}", it.size(), it);
    return fmt::format("{:016x}{:016x}", Base::stableHash(text, 0), Base::stableHash(text, 1));
}

std::string_view requestStateName(RequestState state)
{
    switch (state) {
    case RequestState::Pending:
        return "pending";
    case RequestState::Complete:
        return "complete";
    case RequestState::Failed:
        return "failed";
    case RequestState::NotRun:
        return "notRun";
    }
    return "pending";
}

} // namespace Jobs
