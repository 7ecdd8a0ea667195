// Validating reader of JSON with comments. Every fault is collected with its JSON pointer, so that
// one run reports all of them.
#pragma once

#include "faultlist.h"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace Settings {

/// Parses \a text, JSON with comments, into \a document. Reports syntax errors and members that
/// occur twice in one object with \a code; returns false if there are any.
bool parseJson(std::string_view text, Base::FailureCode code, nlohmann::json &document,
               FaultList &faults);

enum class Presence { Required, Optional };

/// Reads one JSON object. Each read function reports a missing required member, a wrong type or a
/// value out of range, and then leaves its output unchanged. An absent optional member also leaves
/// the output unchanged. Call finish() after the last read.
class JsonReader
{
public:
    using ItemHandler = std::function<void(JsonReader &item)>;

    /// Reads \a document, which must outlive the reader. \a code is the code of all faults.
    JsonReader(const nlohmann::json &document, FaultList &faults, Base::FailureCode code);

    /// Reads a string of at least \a minLength characters.
    bool readString(std::string_view name, std::string &out, Presence presence = Presence::Required,
                    std::size_t minLength = 1);
    bool readBool(std::string_view name, bool &out, Presence presence = Presence::Required);
    bool readNumber(std::string_view name, double &out, double min, double max,
                    Presence presence = Presence::Required);
    bool readMilliseconds(std::string_view name, std::chrono::milliseconds &out, std::uint64_t min,
                          std::uint64_t max, Presence presence = Presence::Required);

    /// Reads a whole number from \a min to \a max.
    template<std::unsigned_integral T>
    bool readUnsigned(std::string_view name, T &out, std::uint64_t min,
                      std::uint64_t max = std::numeric_limits<T>::max(),
                      Presence presence = Presence::Required)
    {
        std::uint64_t n = 0;
        if (!readWholeNumber(name, n, min, max, presence))
            return false;
        out = static_cast<T>(n);
        return true;
    }

    /// Reads an identifier: 1 to 64 letters, digits, '-', '_' and '.', so that it can be used in a
    /// URL path, a log line and before the ':' of a key.
    template<class Id>
    bool readId(std::string_view name, Id &out, Presence presence = Presence::Required)
    {
        std::string text;
        if (!readIdText(name, text, presence))
            return false;
        out = Id(std::move(text));
        return true;
    }

    /// Reads a non-empty array of distinct identifiers.
    template<class Id>
    bool readIds(std::string_view name, std::vector<Id> &out)
    {
        std::vector<std::string> texts;
        if (!readIdTexts(name, texts))
            return false;
        out.clear();
        for (std::string &it : texts)
            out.emplace_back(std::move(it));
        return true;
    }

    /// Calls \a handler with a reader of the object \a name, then finishes that reader.
    bool readObject(std::string_view name, const ItemHandler &handler,
                    Presence presence = Presence::Required);
    /// Calls \a handler with a reader of each object in the array \a name and finishes it.
    bool readObjects(std::string_view name, const ItemHandler &handler,
                     Presence presence = Presence::Required);

    /// Reports the members that no read function has requested, with a similar name if there is
    /// one.
    void finish();

    /// Accepts the members that no read function has requested, for objects to which newer versions
    /// may add members.
    void acceptOtherMembers();

    /// Adds a fault at the member \a name, or at this object if \a name is empty.
    void addFault(std::string_view name, std::string message);
    /// JSON pointer of the member \a name, or of this object if \a name is empty.
    std::string pathOf(std::string_view name = {}) const;
    /// Whether a fault was found in this object or in one below it.
    bool hasFaults() const { return m_faults->faults().size() > m_initialFaultCount; }

private:
    JsonReader(const nlohmann::json &value, std::string path, FaultList &faults,
               Base::FailureCode code);

    const nlohmann::json *member(std::string_view name, Presence presence);
    bool readWholeNumber(std::string_view name, std::uint64_t &out, std::uint64_t min,
                         std::uint64_t max, Presence presence);
    bool readIdText(std::string_view name, std::string &out, Presence presence);
    bool readIdTexts(std::string_view name, std::vector<std::string> &out);
    bool readItem(const nlohmann::json &value, std::string path, const ItemHandler &handler);

    const nlohmann::json *m_value; // an object, or null if the document is of another type
    std::string m_path;
    FaultList *m_faults;
    Base::FailureCode m_code;
    std::size_t m_initialFaultCount;
    std::vector<std::string> m_readNames; // members requested so far
};

} // namespace Settings
