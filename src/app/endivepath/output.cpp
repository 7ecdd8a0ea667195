// Prints results to standard output and, in text mode, failures to standard error.
#include "output.h"

#include <base/failure.h>

#include <nlohmann/json.hpp>

#include <array>
#include <ostream>

namespace CommandLine {

using nlohmann::json;

ExitCode worse(ExitCode a, ExitCode b)
{
    static constexpr std::array ORDER{ExitCode::Usage, ExitCode::Unreachable, ExitCode::Refused,
                                      ExitCode::CheckFailed};
    for (const ExitCode it : ORDER) {
        if (a == it || b == it)
            return it;
    }
    return ExitCode::Ok;
}

static std::string dump(const json &value, int indent = -1)
{
    return value.dump(indent, ' ', false, json::error_handler_t::replace);
}

json failureToJson(const absl::Status &failure)
{
    return {{"code", Base::failureName(Base::failureCode(failure))},
            {"message", Base::failureMessage(failure)}};
}

static std::string leafText(const json &value)
{
    return value.is_string() ? value.get<std::string>() : dump(value);
}

static void appendLeaves(const std::string &prefix, const std::string &path, const json &value,
                         std::string &text)
{
    if (value.is_structured() && !value.empty()) {
        for (const auto &it : value.items()) {
            appendLeaves(prefix, path.empty() ? it.key() : path + '/' + it.key(), it.value(), text);
        }
        return;
    }
    text += prefix + (path.empty() ? std::string() : path + ' ') + leafText(value) + '\n';
}

std::string leafLines(const json &value, const std::string &prefix)
{
    std::string text;
    appendLeaves(prefix, {}, value, text);
    return text;
}

Output::Output(std::ostream &out, std::ostream &err, bool jsonMode)
    : m_out(out)
    , m_err(err)
    , m_json(jsonMode)
{}

void Output::print(const json &value, const std::string &text)
{
    if (m_json)
        m_out << dump(value, 2) << '\n';
    else
        m_out << text;
}

void Output::printValue(const json &value)
{
    print(value, leafLines(value));
}

ExitCode Output::fail(ExitCode code, const absl::Status &failure, const Settings::FaultList &faults)
{
    if (m_json) {
        json document{{"failure", failureToJson(failure)}};
        for (const Settings::Fault &it : faults.faults()) {
            document["faults"].push_back(
                {{"path", it.path}, {"code", Base::failureName(it.code)}, {"message", it.message}});
        }
        m_out << dump(document, 2) << '\n';
        return code;
    }
    m_err << "endivepath: " << Base::failureName(Base::failureCode(failure)) << ": "
          << Base::failureMessage(failure) << '\n';
    for (const Settings::Fault &it : faults.faults())
        m_err << "  " << (it.path.empty() ? "(document)" : it.path) << ": " << it.message << '\n';
    return code;
}

} // namespace CommandLine
