// Finds the command, parses its options with cxxopts and runs it.
#include "commandline.h"

#include "command.h"

#include <base/failure.h>

// cxxopts splits lists at this character; file names and URLs may contain commas.
#define CXXOPTS_VECTOR_DELIMITER '\n'
#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <ostream>

namespace CommandLine {

using Base::FailureCode;
using Base::makeFailure;

static std::vector<Command> allCommands()
{
    std::vector<Command> result;
    for (const auto &group : {fileCommands(), operatorCommands(), jobCommands()})
        result.insert(result.end(), group.begin(), group.end());
    return result;
}

static std::string overview(const std::vector<Command> &commands, const std::string &group)
{
    std::string text = "Operates endivepath daemons.\n\nUsage:\n";
    for (const Command &it : commands) {
        if (group.empty() || it.name.starts_with(group + ' '))
            text +=
                fmt::format("  endivepath {:<36} {}\n", it.name + ' ' + it.arguments, it.summary);
    }
    text += "\nEach command has --help. Exit codes: 0 ok, 1 check failed, 2 usage, 3 unreachable, "
            "4 refused.\n";
    return text;
}

/// Finds the command that \a arguments begin with and removes its words from them. Returns null
/// if there is none.
static const Command *takeCommand(const std::vector<Command> &commands,
                                  std::vector<std::string> &arguments)
{
    for (const std::size_t n : {std::size_t(2), std::size_t(1)}) {
        if (arguments.size() < n)
            continue;
        const std::string name = n == 2 ? arguments[0] + ' ' + arguments[1] : arguments[0];
        const auto it = std::find_if(commands.begin(), commands.end(),
                                     [&name](const Command &c) { return c.name == name; });
        if (it == commands.end())
            continue;
        arguments.erase(arguments.begin(), arguments.begin() + static_cast<std::ptrdiff_t>(n));
        return &*it;
    }
    return nullptr;
}

static cxxopts::Options createParser(const Command &command)
{
    cxxopts::Options parser("endivepath " + command.name, command.summary + "\n");
    parser.custom_help(command.arguments.empty() ? "[OPTION...]"
                                                 : command.arguments + " [OPTION...]");
    auto add = parser.add_options();
    add("help", "Print this help");
    add("output", "Print text or json", cxxopts::value<std::string>()->default_value("text"),
        "FORMAT");
    for (const Option &it : command.options) {
        if (it.placeholder.empty())
            add(it.name, it.help);
        else
            add(it.name, it.help, cxxopts::value<std::vector<std::string>>(), it.placeholder);
    }
    return parser;
}

static Invocation toInvocation(const Command &command, const cxxopts::ParseResult &parsed)
{
    Invocation invocation{parsed.unmatched(), {}};
    for (const Option &it : command.options) {
        if (parsed.count(it.name) == 0)
            continue;
        auto &values = invocation.options[it.name];
        if (!it.placeholder.empty())
            values = parsed[it.name].as<std::vector<std::string>>();
    }
    return invocation;
}

static ExitCode runCommand(const Command &command, const std::vector<std::string> &arguments,
                           std::ostream &out, std::ostream &err)
{
    std::vector<const char *> argv{"endivepath"};
    for (const std::string &it : arguments)
        argv.push_back(it.c_str());
    cxxopts::Options parser = createParser(command);
    const std::string hint = fmt::format("; see 'endivepath {} --help'", command.name);
    try {
        const auto parsed = parser.parse(static_cast<int>(argv.size()), argv.data());
        if (parsed.count("help") > 0) {
            out << parser.help();
            return ExitCode::Ok;
        }
        const auto format = parsed["output"].as<std::string>();
        Output output(out, err, format == "json");
        if (format != "json" && format != "text") {
            return output.fail(ExitCode::Usage, makeFailure(FailureCode::BadRequest,
                                                            "--output must be text or json"));
        }
        const Invocation invocation = toInvocation(command, parsed);
        const std::size_t n = invocation.arguments.size();
        if (n < command.minArguments || n > command.maxArguments) {
            return output.fail(
                ExitCode::Usage,
                makeFailure(FailureCode::BadRequest,
                            fmt::format("expected arguments: {}{}",
                                        command.arguments.empty() ? "none" : command.arguments,
                                        hint)));
        }
        return command.run(invocation, output);
    } catch (const cxxopts::exceptions::exception &error) {
        // Parsing may have failed before or at --output, so search the raw arguments.
        const auto it = std::find(arguments.begin(), arguments.end(), "json");
        Output output(out, err,
                      it != arguments.end() && it != arguments.begin()
                          && *std::prev(it) == "--output");
        return output.fail(ExitCode::Usage,
                           makeFailure(FailureCode::BadRequest, error.what() + hint));
    }
}

int runCommandLine(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err)
{
    const std::vector<Command> commands = allCommands();
    std::vector<std::string> rest = arguments;
    if (const Command *command = takeCommand(commands, rest))
        return static_cast<int>(runCommand(*command, rest, out, err));
    const std::string group =
        arguments.empty() || arguments[0].starts_with('-') ? std::string() : arguments[0];
    const bool known =
        group.empty() || std::any_of(commands.begin(), commands.end(), [&group](const Command &it) {
            return it.name.starts_with(group + ' ');
        });
    if (known && !arguments.empty() && arguments.back() == "--help") {
        out << overview(commands, group);
        return static_cast<int>(ExitCode::Ok);
    }
    err << "endivepath: badRequest: "
        << (arguments.empty() ? "no command given" : "unknown command")
        << "; the commands are listed below\n\n"
        << overview(commands, known ? group : std::string());
    return static_cast<int>(ExitCode::Usage);
}

} // namespace CommandLine
