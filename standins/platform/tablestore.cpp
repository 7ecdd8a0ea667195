// Compare-and-set on an ordered map.
#include "tablestore.h"

namespace PlatformStandin {

StoredRow TableStore::read(const std::string &key) const
{
    const auto it = m_rows.find(key);
    return it == m_rows.end() ? StoredRow() : it->second;
}

std::optional<std::uint64_t> TableStore::compareAndSet(const std::string &key,
                                                       const std::string &value,
                                                       std::uint64_t expectedVersion,
                                                       const std::string &transaction)
{
    if (const auto it = m_transactions.find(transaction); it != m_transactions.end())
        return it->second;
    StoredRow &row = m_rows[key];
    if (row.version != expectedVersion)
        return {};
    row = {value, expectedVersion + 1, transaction};
    m_transactions[transaction] = row.version;
    ++m_writeCount;
    return row.version;
}

} // namespace PlatformStandin
