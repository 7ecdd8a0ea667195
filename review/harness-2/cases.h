// The cases of the review.
#pragma once

#include <string>

namespace Review {

/// Returns the exit code of the case.
int runCase(const std::string &name, const std::string &recordPath, const std::string &program,
            bool hasTrouble);

} // namespace Review
