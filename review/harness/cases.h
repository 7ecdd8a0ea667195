// The cases that are played as scripts.
#pragma once

#include <cstdint>
#include <string>

namespace Review {

struct CaseOptions
{
    std::string folder; // for record.txt
    std::uint64_t seed = 1;
    bool hasTrouble = true;
};

/// Returns the exit code of the script. Throws std::runtime_error if the case can't run.
int playCase(const std::string &name, const CaseOptions &options);

} // namespace Review
