// Building blocks of the Prometheus text format.
#include "exposition.h"

#include "metricsconstants.h"

#include <base/utf8.h>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Metrics::Internal {

bool isMetricName(std::string_view name)
{
    const auto isLetter = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_' || c == ':';
    };
    return !name.empty() && isLetter(name.front())
           && std::all_of(name.begin(), name.end(),
                          [&](char c) { return isLetter(c) || (c >= '0' && c <= '9'); });
}

/// Escapes backslash and line feed, and in label values also the double quote. Bytes that are not
/// UTF-8, which the format does not allow, become U+FFFD.
static void appendEscaped(std::string &out, std::string_view text, bool isLabelValue)
{
    while (!text.empty()) {
        const std::size_t n = Base::utf8SequenceLength(text);
        const char c = text.front();
        if (n == 0)
            out += "\xef\xbf\xbd";
        else if (c == '\n')
            out += "\\n";
        else if (c == '\\' || (c == '"' && isLabelValue))
            out.append({'\\', c});
        else
            out += text.substr(0, n);
        text.remove_prefix(std::max<std::size_t>(n, 1));
    }
}

void appendHeader(std::string &out, std::string_view name, std::string_view help,
                  std::string_view type)
{
    out += fmt::format("# HELP {} ", name);
    appendEscaped(out, help, false);
    out += fmt::format("\n# TYPE {} {}\n", name, type);
}

void appendSample(std::string &out, std::string_view name, const Labels &labels,
                  std::string_view bound, std::string_view value)
{
    out += name;
    char separator = '{';
    const std::pair<std::string_view, std::string_view> pairs[] = {
        {"kind", labels.kind},     {"team", labels.team},       {"domain", labels.domain},
        {"reason", labels.reason}, {"outcome", labels.outcome}, {"le", bound}};
    for (const auto &[label, text] : pairs) {
        if (text.empty())
            continue;
        out += separator;
        out += label;
        out += "=\"";
        appendEscaped(out, text, true);
        out += '"';
        separator = ',';
    }
    if (separator == ',')
        out += '}';
    out += ' ';
    out += value;
    out += '\n';
}

std::string numberText(double value)
{
    if (std::isnan(value))
        return "NaN";
    if (std::isinf(value))
        return value > 0 ? "+Inf" : "-Inf";
    return fmt::format("{}", value);
}

std::string truncatedLabelValue(const std::string &value)
{
    if (value.size() <= Constants::MAX_LABEL_VALUE_BYTES)
        return value;
    std::size_t n = 0;
    while (true) {
        const std::size_t step =
            std::max<std::size_t>(Base::utf8SequenceLength(std::string_view(value).substr(n)), 1);
        if (n + step > Constants::MAX_LABEL_VALUE_BYTES)
            return value.substr(0, n);
        n += step;
    }
}

} // namespace Metrics::Internal
