// Merging of events and text form of the time line.
#include "timeline.h"

#include "textescape.h"

#include <fmt/format.h>

#include <algorithm>
#include <ctime>
#include <iterator>
#include <tuple>
#include <utility>

namespace EventLog {

using Base::FailureCode;

Timeline::Timeline(std::vector<DaemonEvents> replies)
    : m_daemons(std::move(replies))
{
    for (DaemonEvents &it : m_daemons) {
        std::move(it.events.begin(), it.events.end(), std::back_inserter(m_events));
        it.events.clear();
    }
    const auto position = [](const Event &event) { return std::tie(event.stamp, event.daemon); };
    std::stable_sort(m_events.begin(), m_events.end(),
                     [&](const Event &a, const Event &b) { return position(a) < position(b); });
    const auto end =
        std::unique(m_events.begin(), m_events.end(),
                    [&](const Event &a, const Event &b) { return position(a) == position(b); });
    m_events.erase(end, m_events.end());
}

bool Timeline::isComplete() const
{
    return std::all_of(m_daemons.begin(), m_daemons.end(),
                       [](const DaemonEvents &it) { return Internal::gapText(it).empty(); });
}

std::string Timeline::toText() const
{
    std::string result = fmt::format("{} daemons, {} events\n", m_daemons.size(), m_events.size());
    for (const DaemonEvents &it : m_daemons) {
        const std::string gap = Internal::gapText(it);
        if (!gap.empty())
            result += fmt::format("{}: {}\n", Internal::escapeText(it.daemon.value()), gap);
    }
    for (const Event &it : m_events) {
        result += fmt::format("{}+{} {} {}\n", Internal::wallTimeText(it.stamp.wallMs),
                              it.stamp.counter, Internal::escapeText(it.daemon.value()),
                              Internal::escapeText(Internal::eventText(it)));
    }
    return result;
}

namespace Internal {

std::string gapText(const DaemonEvents &daemon)
{
    if (daemon.failure != FailureCode::None)
        return fmt::format("no answer ({})", Base::failureName(daemon.failure));
    std::string result;
    const auto append = [&result](std::uint64_t n, const char *what) {
        if (n > 0)
            result += fmt::format("{}{} events {}", result.empty() ? "" : ", ", n, what);
    };
    append(daemon.overwritten, "overwritten");
    append(daemon.omitted, "omitted by the limit");
    append(daemon.unreadable, "unreadable");
    return result;
}

std::string eventText(const Event &event)
{
    std::string result(eventTypeName(event.type));
    if (!event.request.team.isEmpty() || !event.request.key.isEmpty())
        result += fmt::format(" {}/{}", event.request.team.value(), event.request.key.value());
    if (event.task)
        result += fmt::format(" task={}", event.task->value());
    if (event.upstream)
        result += fmt::format(" upstream={}", event.upstream->value());
    if (event.peer)
        result += fmt::format(" peer={}", event.peer->value());
    if (event.shard)
        result +=
            fmt::format(" shard={}/{}", event.shard->domain.value(), event.shard->index.value());
    if (event.epoch != Base::Epoch())
        result += fmt::format(" epoch={}", event.epoch.value());
    if (event.failure != FailureCode::None)
        result += fmt::format(" failure={}", Base::failureName(event.failure));
    if (event.detail != 0)
        result += fmt::format(" detail={}", event.detail);
    return result;
}

std::string wallTimeText(std::uint64_t wallMs)
{
    constexpr std::uint64_t MS_PER_S = 1000;
    const auto seconds = static_cast<std::time_t>(wallMs / MS_PER_S);
    std::tm tm{};
    // The stamp of a faulty daemon may lie beyond the years that std::tm can represent.
    if (!gmtime_r(&seconds, &tm))
        return fmt::format("{}ms", wallMs);
    return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z", tm.tm_year + 1900LL,
                       tm.tm_mon + 1, tm.tm_mday, tm.tm_hour, tm.tm_min, tm.tm_sec,
                       wallMs % MS_PER_S);
}

} // namespace Internal

} // namespace EventLog
