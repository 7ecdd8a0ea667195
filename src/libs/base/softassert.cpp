// Reports failed soft assertions.
#include "softassert.h"

#include "log.h"

#include <cstdlib>
#include <string_view>

namespace Base {

void reportSoftAssert(const char *condition, const char *file, int line)
{
    log(LogLevel::Error, "softAssert", {{"condition", condition}, {"file", file}, {"line", line}});
    const char *mode = std::getenv("EP_SOFT_ASSERT");
    if (mode && std::string_view(mode) == "abort")
        std::abort();
}

} // namespace Base
