// SVG form of the time line.
#include "timeline.h"

#include "eventlogconstants.h"
#include "textescape.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

namespace EventLog {

// Sizes in pixels.
static constexpr double LABEL_WIDTH = 180;
static constexpr double PLOT_WIDTH = 1200;
static constexpr double ROW_HEIGHT = 12;
static constexpr double LANE_GAP = 8;
static constexpr double LINE_HEIGHT = 16;
static constexpr double MARGIN = 10;
static constexpr int TICKS = 8;

/// The run of a task on an upstream.
struct Bar
{
    const Event *start = nullptr;
    const Event *finish = nullptr; // null if no end was recorded
    std::size_t row = 0;
};

struct Lane
{
    std::string label;
    std::vector<Bar> bars; // ordered by start
    std::vector<const Event *> marks;
    std::size_t rows = 1;
};

/// Whether the lane is of an upstream, and its name: daemons come first, each sorted by name.
using LaneKey = std::pair<bool, std::string>;
using Lanes = std::map<LaneKey, Lane>;

static Lane &laneFor(Lanes &lanes, bool isUpstream, const std::string &name)
{
    Lane &lane = lanes[{isUpstream, name}];
    if (lane.label.empty())
        lane.label = (isUpstream ? "upstream " : "daemon ") + name;
    return lane;
}

/// Assigns each bar the first row that is free at its start, or the last row if the limit on rows
/// is reached.
static void assignRows(Lane &lane, std::uint64_t endMs)
{
    std::vector<std::uint64_t> freeFromMs;
    for (Bar &bar : lane.bars) {
        const std::uint64_t startMs = bar.start->stamp.wallMs;
        const auto it = std::find_if(freeFromMs.begin(), freeFromMs.end(),
                                     [startMs](std::uint64_t ms) { return ms <= startMs; });
        bar.row = static_cast<std::size_t>(it - freeFromMs.begin());
        if (it == freeFromMs.end()) {
            if (freeFromMs.size() < Constants::MAX_ROWS_PER_LANE)
                freeFromMs.push_back(0);
            else
                bar.row = freeFromMs.size() - 1;
        }
        freeFromMs[bar.row] = bar.finish ? bar.finish->stamp.wallMs : endMs;
    }
    lane.rows = std::max<std::size_t>(freeFromMs.size(), 1);
}

static Lanes makeLanes(const Timeline &timeline)
{
    Lanes lanes;
    for (const DaemonEvents &it : timeline.daemons())
        laneFor(lanes, false, it.daemon.value());
    using RunKey = std::tuple<Base::RequestId, std::optional<Base::TaskIndex>, Base::UpstreamId>;
    std::map<RunKey, std::vector<Bar>> runs;
    for (const Event &it : timeline.events()) {
        if (it.upstream) {
            laneFor(lanes, true, it.upstream->value());
            std::vector<Bar> &bars = runs[{it.request, it.task, *it.upstream}];
            if (it.type == EventType::Started) {
                bars.push_back({&it});
                continue;
            }
            // After a takeover, another daemon may record the end of the run.
            if (it.type == EventType::Finished && !bars.empty() && !bars.back().finish) {
                bars.back().finish = &it;
                continue;
            }
        }
        laneFor(lanes, false, it.daemon.value()).marks.push_back(&it);
    }
    for (const auto &[key, bars] : runs) {
        for (const Bar &bar : bars) {
            laneFor(lanes, true, std::get<Base::UpstreamId>(key).value()).bars.push_back(bar);
            laneFor(lanes, false, bar.start->daemon.value()).bars.push_back(bar);
        }
    }
    const std::uint64_t endMs =
        timeline.events().empty() ? 0 : timeline.events().back().stamp.wallMs;
    for (auto &[key, lane] : lanes) {
        std::sort(lane.bars.begin(), lane.bars.end(), [](const Bar &a, const Bar &b) {
            return std::tie(a.start->stamp, a.start) < std::tie(b.start->stamp, b.start);
        });
        assignRows(lane, endMs);
    }
    return lanes;
}

/// Appends shapes to a document up to the limit on shapes.
class SvgWriter
{
public:
    SvgWriter(std::uint64_t beginMs, std::uint64_t endMs)
        : m_beginMs(beginMs)
        , m_spanMs(std::max<std::uint64_t>(endMs - beginMs, 1))
    {}

    double x(std::uint64_t wallMs) const
    {
        return LABEL_WIDTH
               + PLOT_WIDTH * static_cast<double>(wallMs - m_beginMs)
                     / static_cast<double>(m_spanMs);
    }

    void addText(double x, double y, std::string_view text)
    {
        m_body += fmt::format("<text x=\"{:.1f}\" y=\"{:.1f}\">{}</text>\n", x, y,
                              Internal::escapeXml(text));
    }

    void addAxis(double top, double bottom)
    {
        for (int i = 0; i <= TICKS; ++i) {
            const std::uint64_t ms =
                static_cast<std::uint64_t>(static_cast<double>(m_spanMs) * i / TICKS);
            const double position = x(m_beginMs + ms);
            m_body += fmt::format("<line class=\"tick\" x1=\"{0:.1f}\" x2=\"{0:.1f}\" "
                                  "y1=\"{1:.1f}\" y2=\"{2:.1f}\"/>\n",
                                  position, top, bottom);
            addText(position, top - 4, fmt::format("+{} ms", ms));
        }
    }

    void addBar(const Bar &bar, double top)
    {
        if (!reserveShape())
            return;
        const double left = x(bar.start->stamp.wallMs);
        const double right = bar.finish ? x(bar.finish->stamp.wallMs) : LABEL_WIDTH + PLOT_WIDTH;
        const char *style = !bar.finish                                      ? "open"
                            : bar.finish->failure != Base::FailureCode::None ? "failed"
                                                                             : "done";
        std::string title = tooltip(*bar.start);
        title += bar.finish ? "\n" + tooltip(*bar.finish) : "\nno end recorded";
        m_body +=
            fmt::format("<rect class=\"{}\" x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" "
                        "height=\"{:.1f}\"><title>{}</title></rect>\n",
                        style, left, top + 1, std::max(right - left, 1.0), ROW_HEIGHT - 2, title);
    }

    void addMark(const Event &event, double top)
    {
        if (!reserveShape())
            return;
        const bool isFailure = event.failure != Base::FailureCode::None;
        m_body += fmt::format("<circle class=\"{}\" cx=\"{:.1f}\" cy=\"{:.1f}\" r=\"3\">"
                              "<title>{}</title></circle>\n",
                              isFailure ? "failed" : "mark", x(event.stamp.wallMs),
                              top + ROW_HEIGHT / 2, tooltip(event));
    }

    std::size_t omittedShapes() const { return m_omittedShapes; }

    std::string document(double height) const
    {
        return fmt::format(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" height=\"{1}\" "
            "viewBox=\"0 0 {0} {1}\">\n<style>text{{font:11px sans-serif;fill:#222}}"
            ".tick{{stroke:#ddd}}.done{{fill:#4682b4}}.failed{{fill:#c0392b}}"
            ".open{{fill:#bbb;stroke:#666;stroke-dasharray:3}}.mark{{fill:#555}}</style>\n"
            "<rect width=\"100%\" height=\"100%\" fill=\"#fff\"/>\n{2}</svg>\n",
            LABEL_WIDTH + PLOT_WIDTH + 8 * MARGIN, height, m_body);
    }

private:
    bool reserveShape()
    {
        if (m_shapes >= Constants::MAX_SVG_SHAPES) {
            ++m_omittedShapes;
            return false;
        }
        ++m_shapes;
        return true;
    }

    static std::string tooltip(const Event &event)
    {
        return fmt::format("{}+{} {} {}", Internal::wallTimeText(event.stamp.wallMs),
                           event.stamp.counter, Internal::escapeXml(event.daemon.value()),
                           Internal::escapeXml(Internal::eventText(event)));
    }

    std::uint64_t m_beginMs;
    std::uint64_t m_spanMs;
    std::size_t m_shapes = 0;
    std::size_t m_omittedShapes = 0;
    std::string m_body;
};

std::string Timeline::toSvg() const
{
    const std::uint64_t beginMs = m_events.empty() ? 0 : m_events.front().stamp.wallMs;
    const std::uint64_t endMs = m_events.empty() ? 0 : m_events.back().stamp.wallMs;
    SvgWriter writer(beginMs, endMs);
    double y = MARGIN + LINE_HEIGHT;
    writer.addText(MARGIN, y,
                   fmt::format("{} daemons, {} events from {} to {}", m_daemons.size(),
                               m_events.size(), Internal::wallTimeText(beginMs),
                               Internal::wallTimeText(endMs)));
    for (const DaemonEvents &it : m_daemons) {
        const std::string gap = Internal::gapText(it);
        if (gap.empty())
            continue;
        y += LINE_HEIGHT;
        writer.addText(MARGIN, y, it.daemon.value() + ": " + gap);
    }
    y += 2 * LINE_HEIGHT;
    const Lanes lanes = makeLanes(*this);
    double bottom = y;
    for (const auto &[key, lane] : lanes)
        bottom += static_cast<double>(lane.rows) * ROW_HEIGHT + LANE_GAP;
    writer.addAxis(y, bottom);
    for (const auto &[key, lane] : lanes) {
        writer.addText(MARGIN, y + ROW_HEIGHT, lane.label);
        for (const Bar &bar : lane.bars)
            writer.addBar(bar, y + static_cast<double>(bar.row) * ROW_HEIGHT);
        for (const Event *event : lane.marks)
            writer.addMark(*event, y);
        y += static_cast<double>(lane.rows) * ROW_HEIGHT + LANE_GAP;
    }
    if (writer.omittedShapes() > 0) {
        y += LINE_HEIGHT;
        writer.addText(MARGIN, y, fmt::format("{} shapes left out", writer.omittedShapes()));
    }
    return writer.document(y + 2 * MARGIN);
}

} // namespace EventLog
