// Reads a parsed JSON document and collects faults.
#include "jsonreader.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <cmath>
#include <set>
#include <utility>

namespace Settings {

static constexpr std::size_t MAX_ID_LENGTH = 64;

/// Escapes \a name as a token of a JSON pointer.
static std::string escapedToken(std::string_view name)
{
    std::string result;
    for (const char c : name) {
        if (c == '~')
            result += "~0";
        else if (c == '/')
            result += "~1";
        else
            result += c;
    }
    return result;
}

/// Parser callback that reports members that occur twice in one object, of which nlohmann::json
/// silently keeps one.
class DuplicateMemberDetector
{
public:
    DuplicateMemberDetector(FaultList &faults, Base::FailureCode code)
        : m_faults(faults)
        , m_code(code)
    {}

    void handle(nlohmann::json::parse_event_t event, const nlohmann::json &parsed)
    {
        using Event = nlohmann::json::parse_event_t;
        switch (event) {
        case Event::object_start:
        case Event::array_start:
            m_levels.push_back({event == Event::array_start, 0, {}, {}});
            break;
        case Event::key:
            addMember(parsed.get_ref<const std::string &>());
            break;
        case Event::object_end:
        case Event::array_end:
            m_levels.pop_back();
            endValue();
            break;
        case Event::value:
            endValue();
            break;
        }
    }

private:
    struct Level
    {
        bool isArray = false;
        std::size_t index = 0;
        std::string name; // of the current member
        std::set<std::string> memberNames;
    };

    void addMember(const std::string &name)
    {
        m_levels.back().name = name;
        if (m_levels.back().memberNames.insert(name).second)
            return;
        std::string path;
        for (const Level &it : m_levels)
            path += '/' + (it.isArray ? std::to_string(it.index) : escapedToken(it.name));
        m_faults.add(path, m_code, "the member occurs twice in one object");
    }

    void endValue()
    {
        if (!m_levels.empty())
            ++m_levels.back().index;
    }

    FaultList &m_faults;
    Base::FailureCode m_code;
    std::vector<Level> m_levels;
};

bool parseJson(std::string_view text, Base::FailureCode code, nlohmann::json &document,
               FaultList &faults)
{
    const std::size_t before = faults.faults().size();
    DuplicateMemberDetector detector(faults, code);
    const auto callback = [&detector](int, nlohmann::json::parse_event_t event,
                                      nlohmann::json &parsed) {
        detector.handle(event, parsed);
        return true;
    };
    try {
        document = nlohmann::json::parse(text.begin(), text.end(), callback, true, true);
    } catch (const std::exception &error) {
        std::string message = error.what();
        // Drops the library's own prefix "[json.exception.parse_error.101] ".
        if (const std::size_t end = message.find("] "); end != std::string::npos)
            message.erase(0, end + 2);
        faults.add({}, code, "not valid JSON: " + message);
    }
    return faults.faults().size() == before;
}

static std::string lowerCase(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

static std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t j = 0; j < row.size(); ++j)
        row[j] = j;
    for (std::size_t i = 0; i < a.size(); ++i) {
        std::size_t diagonal = std::exchange(row[0], i + 1);
        for (std::size_t j = 0; j < b.size(); ++j) {
            const std::size_t replaced = diagonal + (a[i] == b[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({replaced, row[j] + 1, diagonal + 1});
        }
    }
    return row.back();
}

/// The name in \a known that is most similar to \a name, or an empty string if none is similar.
static std::string similarName(std::string_view name, const std::vector<std::string> &known)
{
    // Limits the cost of the comparison; no known name is that long.
    if (name.size() > MAX_ID_LENGTH)
        return {};
    std::string best;
    std::size_t bestDistance = std::max<std::size_t>(2, name.size() / 3) + 1;
    for (const std::string &it : known) {
        const std::size_t n = editDistance(lowerCase(name), lowerCase(it));
        if (n < bestDistance) {
            best = it;
            bestDistance = n;
        }
    }
    return best;
}

JsonReader::JsonReader(const nlohmann::json &document, FaultList &faults, Base::FailureCode code)
    : JsonReader(document, {}, faults, code)
{}

JsonReader::JsonReader(const nlohmann::json &value, std::string path, FaultList &faults,
                       Base::FailureCode code)
    : m_value(value.is_object() ? &value : nullptr)
    , m_path(std::move(path))
    , m_faults(&faults)
    , m_code(code)
    , m_initialFaultCount(faults.faults().size())
{
    if (!m_value)
        addFault({}, fmt::format("must be an object, not {}", value.type_name()));
}

std::string JsonReader::pathOf(std::string_view name) const
{
    return name.empty() ? m_path : m_path + '/' + escapedToken(name);
}

void JsonReader::addFault(std::string_view name, std::string message)
{
    m_faults->add(pathOf(name), m_code, std::move(message));
}

const nlohmann::json *JsonReader::member(std::string_view name, Presence presence)
{
    if (!m_value)
        return nullptr;
    m_readNames.emplace_back(name);
    const auto it = m_value->find(m_readNames.back());
    if (it != m_value->end())
        return &*it;
    if (presence == Presence::Required)
        addFault(name, "missing member");
    return nullptr;
}

bool JsonReader::readString(std::string_view name, std::string &out, Presence presence,
                            std::size_t minLength)
{
    const nlohmann::json *value = member(name, presence);
    if (!value)
        return false;
    if (!value->is_string()) {
        addFault(name, fmt::format("must be a string, not {}", value->type_name()));
        return false;
    }
    const auto &text = value->get_ref<const std::string &>();
    if (text.size() < minLength) {
        addFault(name, minLength == 1 ? "must not be empty"
                                      : fmt::format("must have at least {} characters", minLength));
        return false;
    }
    out = text;
    return true;
}

bool JsonReader::readBool(std::string_view name, bool &out, Presence presence)
{
    const nlohmann::json *value = member(name, presence);
    if (!value)
        return false;
    if (!value->is_boolean()) {
        addFault(name, fmt::format("must be true or false, not {}", value->type_name()));
        return false;
    }
    out = value->get<bool>();
    return true;
}

bool JsonReader::readNumber(std::string_view name, double &out, double min, double max,
                            Presence presence)
{
    const nlohmann::json *value = member(name, presence);
    if (!value)
        return false;
    if (!value->is_number()) {
        addFault(name, fmt::format("must be a number, not {}", value->type_name()));
        return false;
    }
    const auto n = value->get<double>();
    if (!std::isfinite(n) || n < min || n > max) {
        addFault(name, fmt::format("{} must be from {} to {}", value->dump(), min, max));
        return false;
    }
    out = n;
    return true;
}

bool JsonReader::readMilliseconds(std::string_view name, std::chrono::milliseconds &out,
                                  std::uint64_t min, std::uint64_t max, Presence presence)
{
    std::uint64_t n = 0;
    if (!readWholeNumber(name, n, min, max, presence))
        return false;
    out = std::chrono::milliseconds(n);
    return true;
}

bool JsonReader::readWholeNumber(std::string_view name, std::uint64_t &out, std::uint64_t min,
                                 std::uint64_t max, Presence presence)
{
    const nlohmann::json *value = member(name, presence);
    if (!value)
        return false;
    if (!value->is_number_integer()) {
        const char *type = value->is_number() ? "a fraction" : value->type_name();
        addFault(name, fmt::format("must be a whole number, not {}", type));
        return false;
    }
    const bool negative = !value->is_number_unsigned() && value->get<std::int64_t>() < 0;
    const auto n = negative ? 0 : value->get<std::uint64_t>();
    if (negative || n < min || n > max) {
        addFault(name, fmt::format("{} must be from {} to {}", value->dump(), min, max));
        return false;
    }
    out = n;
    return true;
}

static bool isIdText(std::string_view text)
{
    if (text.empty() || text.size() > MAX_ID_LENGTH)
        return false;
    return std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return c < 128 && (std::isalnum(c) || c == '-' || c == '_' || c == '.');
    });
}

static std::string idRule()
{
    return fmt::format("must be 1 to {} letters, digits, '-', '_' and '.'", MAX_ID_LENGTH);
}

bool JsonReader::readIdText(std::string_view name, std::string &out, Presence presence)
{
    std::string text;
    if (!readString(name, text, presence, 0))
        return false;
    if (!isIdText(text)) {
        addFault(name, idRule());
        return false;
    }
    out = std::move(text);
    return true;
}

bool JsonReader::readIdTexts(std::string_view name, std::vector<std::string> &out)
{
    const nlohmann::json *value = member(name, Presence::Required);
    if (!value)
        return false;
    if (!value->is_array()) {
        addFault(name, fmt::format("must be an array, not {}", value->type_name()));
        return false;
    }
    if (value->empty())
        addFault(name, "must have at least one item");
    const std::size_t before = m_faults->faults().size() - (value->empty() ? 1 : 0);
    std::set<std::string> seen;
    for (std::size_t i = 0; i < value->size(); ++i) {
        const nlohmann::json &item = (*value)[i];
        const std::string path = pathOf(name) + '/' + std::to_string(i);
        if (!item.is_string() || !isIdText(item.get_ref<const std::string &>())) {
            m_faults->add(path, m_code, item.is_string() ? idRule() : "must be a string");
            continue;
        }
        const auto &text = item.get_ref<const std::string &>();
        if (!seen.insert(text).second)
            m_faults->add(path, m_code, fmt::format("\"{}\" occurs twice", text));
        out.push_back(text);
    }
    return m_faults->faults().size() == before;
}

bool JsonReader::readItem(const nlohmann::json &value, std::string path, const ItemHandler &handler)
{
    JsonReader reader(value, std::move(path), *m_faults, m_code);
    if (!reader.m_value)
        return false;
    handler(reader);
    reader.finish();
    return !reader.hasFaults();
}

bool JsonReader::readObject(std::string_view name, const ItemHandler &handler, Presence presence)
{
    const nlohmann::json *value = member(name, presence);
    return value && readItem(*value, pathOf(name), handler);
}

bool JsonReader::readObjects(std::string_view name, const ItemHandler &handler, Presence presence)
{
    const nlohmann::json *value = member(name, presence);
    if (!value)
        return false;
    if (!value->is_array()) {
        addFault(name, fmt::format("must be an array, not {}", value->type_name()));
        return false;
    }
    bool ok = true;
    for (std::size_t i = 0; i < value->size(); ++i)
        ok = readItem((*value)[i], pathOf(name) + '/' + std::to_string(i), handler) && ok;
    return ok;
}

void JsonReader::acceptOtherMembers()
{
    if (!m_value)
        return;
    for (const auto &it : m_value->items())
        m_readNames.push_back(it.key());
}

void JsonReader::finish()
{
    if (!m_value)
        return;
    for (const auto &it : m_value->items()) {
        if (std::find(m_readNames.begin(), m_readNames.end(), it.key()) != m_readNames.end())
            continue;
        const std::string hint = similarName(it.key(), m_readNames);
        addFault(it.key(), hint.empty()
                               ? "unknown member"
                               : fmt::format("unknown member; did you mean \"{}\"?", hint));
    }
}

} // namespace Settings
