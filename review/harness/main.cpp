// Plays one case of the review: review-case CASE FOLDER SEED. With TROUBLE=0 in the environment,
// without the disruption. Exit code: 1 if the rule was broken, 0 if it held, 2 if it could not run.
#include "cases.h"

#include <cstdio>
#include <cstdlib>

int main(int argc, char **argv)
{
    if (argc < 4) {
        std::fprintf(stderr, "usage: review-case CASE FOLDER SEED\n");
        return 2;
    }
    const char *const trouble = std::getenv("TROUBLE");
    Review::CaseOptions options;
    options.folder = argv[2];
    options.seed = std::strtoull(argv[3], nullptr, 10);
    options.hasTrouble = !trouble || std::string(trouble) != "0";
    try {
        return Review::playCase(argv[1], options);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "review-case: %s\n", error.what());
        return 2;
    }
}
