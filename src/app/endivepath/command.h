// Command descriptions that the parser, the help text and the dispatch are generated from.
#pragma once

#include "invocation.h"
#include "output.h"

#include <string>
#include <vector>

namespace CommandLine {

struct Option
{
    std::string name;
    std::string placeholder; // of the value in the help text; empty for a flag without value
    std::string help;
};

struct Command
{
    std::string name;      // one or two words
    std::string arguments; // as shown in the help text
    std::string summary;
    std::size_t minArguments = 0;
    std::size_t maxArguments = 0;
    std::vector<Option> options; // --help and --output are added to all
    ExitCode (*run)(const Invocation &, Output &) = nullptr;
};

/// Commands that only read local files.
std::vector<Command> fileCommands();
/// Commands that call daemons at their operator ports.
std::vector<Command> operatorCommands();
/// Commands that call a daemon at its caller port.
std::vector<Command> jobCommands();

} // namespace CommandLine
