// The command-line interface for operators.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace CommandLine {

/// Runs the command given by \a arguments, without the program's name, and returns the exit code.
int runCommandLine(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err);

} // namespace CommandLine
