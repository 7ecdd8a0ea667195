// Entry point of the command-line interface for operators.
#include "commandline.h"

#include <iostream>

int main(int argc, char **argv)
{
    return CommandLine::runCommandLine({argv + 1, argv + argc}, std::cout, std::cerr);
}
