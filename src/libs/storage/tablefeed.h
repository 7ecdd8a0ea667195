// Interface for reading a table of the store and following its changes.
#pragma once

#include <base/ids.h>
#include <base/timers.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Storage {

/// Version of the whole store; each transaction increases it.
using StoreVersion = Base::Number<struct StoreVersionTag>;

struct TableRow
{
    std::string key;
    std::string value; // bytes
    StoreVersion version;
    bool isRemoved = false;
};

enum class FeedStatus {
    Ok,
    HistoryGone, ///< Changes after the given version are no longer available.
    Unavailable, ///< No response, or an error status.
};

struct FeedResult
{
    FeedStatus status = FeedStatus::Unavailable;
    std::vector<TableRow> rows; // in the order of their changes, or of their keys
    StoreVersion version;       // to continue from
};

class TableFeed
{
public:
    using Callback = std::function<void(const FeedResult &)>;

    virtual ~TableFeed() = default;

    /// Reads all rows of \a table as of one version of the store, which may be out of date.
    virtual void readAll(const std::string &table, Callback callback) = 0;
    /// Waits up to \a wait for rows that changed after \a after.
    virtual void awaitChanges(const std::string &table, StoreVersion after, Base::Duration wait,
                              Callback callback) = 0;
};

} // namespace Storage
