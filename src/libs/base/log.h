// Structured logging: each line has time, level, event, then key=value fields.
#pragma once

#include "ids.h"
#include "timers.h"

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace Base {

enum class LogLevel { Debug, Info, Warning, Error };

/// One key=value pair of a log line.
struct LogField
{
    LogField(std::string_view fieldName, std::string_view text)
        : name(fieldName)
        , value(text)
    {}
    LogField(std::string_view fieldName, const char *text)
        : name(fieldName)
        , value(text)
    {}
    LogField(std::string_view fieldName, const std::string &text)
        : name(fieldName)
        , value(text)
    {}
    template<std::integral T>
    LogField(std::string_view fieldName, T number)
        : name(fieldName)
        , value(std::to_string(number))
    {}
    template<class Tag>
    LogField(std::string_view fieldName, const Id<Tag> &id)
        : name(fieldName)
        , value(id.value())
    {}
    template<class Tag>
    LogField(std::string_view fieldName, Number<Tag> number)
        : name(fieldName)
        , value(std::to_string(number.value()))
    {}
    LogField(std::string_view fieldName, Duration duration)
        : name(fieldName)
        , value(std::to_string(toMilliseconds(duration)) + "ms")
    {}

    std::string_view name;
    std::string value;
};

/// Lines below \a level are dropped. May be changed at any time.
void setLogLevel(LogLevel level);
LogLevel logLevel();
/// Parses "debug", "info", "warning" or "error"; returns false for anything else.
bool parseLogLevel(std::string_view name, LogLevel &level);

/// Output stream of log lines; standard error by default.
enum class LogStream { StandardError, StandardOutput };
void setLogStream(LogStream stream);

/// Adds a field, such as the daemon id, to all subsequent lines.
void setLogContext(std::string_view name, std::string_view value);

/// Writes one line. Each event is limited to Constants::MAX_LINES_PER_EVENT_PER_SECOND lines per
/// second; the first line after that second reports how many were dropped.
void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

} // namespace Base
