// Formats and rate-limits log lines. A mutex protects the state, since curl's resolver and tests
// may log from other threads.
#include "log.h"

#include "baseconstants.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <cstdio>
#include <iterator>
#include <map>
#include <mutex>

namespace Base {

struct RateLimit
{
    std::chrono::steady_clock::time_point windowStart;
    int lines = 0;
    int dropped = 0;
};

struct LogState
{
    std::mutex mutex;
    LogLevel level = LogLevel::Info;
    std::FILE *stream = stderr;
    std::string context;
    std::map<std::string, RateLimit, std::less<>> rateLimits;
};

static LogState &state()
{
    static LogState instance;
    return instance;
}

static std::string_view levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "error";
}

static bool needsQuotes(std::string_view value)
{
    if (value.empty())
        return true;
    for (const char c : value) {
        if (c <= ' ' || c == '"' || c == '=' || c == '\\')
            return true;
    }
    return false;
}

/// Callers choose some of the values, of up to the size of a header.
static void appendField(std::string &line, std::string_view name, std::string_view value)
{
    value = value.substr(0, Constants::MAX_LOGGED_VALUE_BYTES);
    line += fmt::format(" {}=", name);
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\')
            line += '\\';
        if (c == '\n')
            line += "\\n";
        else if (static_cast<unsigned char>(c) < ' ')
            line += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
        else
            line += c;
    }
    line += '"';
}

/// Returns false if the line exceeds the limit. Sets \a dropped to the number of lines dropped in
/// the previous window when a new one begins.
static bool passesRateLimit(LogState &s, std::string_view event, int &dropped)
{
    auto it = s.rateLimits.find(event);
    if (it == s.rateLimits.end())
        it = s.rateLimits.emplace(std::string(event), RateLimit()).first;
    RateLimit &limit = it->second;
    const auto now = std::chrono::steady_clock::now();
    if (now - limit.windowStart >= std::chrono::seconds(1)) {
        limit.windowStart = now;
        limit.lines = 0;
        dropped = limit.dropped;
        limit.dropped = 0;
    }
    if (limit.lines >= Constants::MAX_LINES_PER_EVENT_PER_SECOND) {
        ++limit.dropped;
        return false;
    }
    ++limit.lines;
    return true;
}

void setLogLevel(LogLevel level)
{
    const std::lock_guard lock(state().mutex);
    state().level = level;
}

LogLevel logLevel()
{
    const std::lock_guard lock(state().mutex);
    return state().level;
}

bool parseLogLevel(std::string_view name, LogLevel &level)
{
    for (const LogLevel it :
         {LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error}) {
        if (levelName(it) == name) {
            level = it;
            return true;
        }
    }
    return false;
}

void setLogStream(LogStream stream)
{
    const std::lock_guard lock(state().mutex);
    state().stream = stream == LogStream::StandardOutput ? stdout : stderr;
}

void setLogContext(std::string_view name, std::string_view value)
{
    const std::lock_guard lock(state().mutex);
    appendField(state().context, name, value);
}

void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    LogState &s = state();
    const std::lock_guard lock(s.mutex);
    if (level < s.level)
        return;
    int dropped = 0;
    if (!passesRateLimit(s, event, dropped))
        return;
    const auto wall =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    std::string line = fmt::format("{:%Y-%m-%dT%H:%M:}{:%S}Z {} {}", wall, wall.time_since_epoch(),
                                   levelName(level), event);
    line += s.context;
    for (const LogField &it : fields)
        appendField(line, it.name, it.value);
    if (dropped > 0)
        appendField(line, "droppedLines", std::to_string(dropped));
    line += '\n';
    std::fwrite(line.data(), 1, line.size(), s.stream);
    std::fflush(s.stream);
}

} // namespace Base
