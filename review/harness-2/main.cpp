// Runs one case: review-case NAME RECORD PROGRAM. Exit codes: 0 the rule held, 1 it was broken,
// 2 the case could not run. TROUBLE=0 leaves the disruption out.
#include "cases.h"

#include <cstdlib>
#include <cstring>
#include <exception>

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::fprintf(stderr, "usage: review-case NAME RECORD PROGRAM\n");
        return 2;
    }
    const char *const trouble = std::getenv("TROUBLE");
    const bool hasTrouble = !trouble || std::strcmp(trouble, "0") != 0;
    try {
        return Review::runCase(argv[1], argv[2], argv[3], hasTrouble);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "review-case: %s\n", error.what());
        return 2;
    }
}
