// The table of the platform stand-in: versioned rows.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace PlatformStandin {

struct StoredRow
{
    std::string value;
    std::uint64_t version = 0;
    std::string transaction;
};

/// Rows with compare-and-set. Repeating a write under its transaction id has no effect.
class TableStore
{
public:
    StoredRow read(const std::string &key) const;
    /// Returns the new version, or nothing if the row is not at \a expectedVersion.
    std::optional<std::uint64_t> compareAndSet(const std::string &key, const std::string &value,
                                               std::uint64_t expectedVersion,
                                               const std::string &transaction);

    std::uint64_t writeCount() const { return m_writeCount; }

private:
    std::map<std::string, StoredRow> m_rows;
    std::map<std::string, std::uint64_t> m_transactions; // version written, by transaction id
    std::uint64_t m_writeCount = 0;
};

} // namespace PlatformStandin
