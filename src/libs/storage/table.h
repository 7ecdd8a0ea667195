// Interfaces of the platform's storage: the transactional table and the object store.
#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Storage {

/// A row as read from the table. Each write increments the version; 0 means that no row exists.
struct Row
{
    std::string value;
    std::uint64_t version = 0;
    /// Transaction id of the write that created this version.
    std::string transaction;
};

/// A compare-and-set: writes \a value if the row is at \a expectedVersion (0 creates the row).
struct ConditionalWrite
{
    std::string key;
    std::string value;
    std::uint64_t expectedVersion = 0;
    /// Unique per intended write. Repeating a write under the same id has no further effect.
    std::string transaction;
};

/// The transactional table. Callbacks run on the event loop, never from within the call.
class Table
{
public:
    using ReadCallback = std::function<void(const absl::Status &, const Row &)>;
    using WriteCallback = std::function<void(const absl::Status &, std::uint64_t newVersion)>;

    virtual ~Table() = default;

    /// For a row that does not exist, the status is OK and the version 0.
    /// Errors: platformUnavailable.
    virtual void read(std::string_view key, ReadCallback callback) = 0;
    /// Errors: versionMismatch (not written), platformUnavailable (not written), fateUnknown (may
    /// have been written, or may be later; resolve by reading the row or by repeating the write
    /// under the same transaction id).
    virtual void compareAndSet(ConditionalWrite write, WriteCallback callback) = 0;
};

/// The object store. Objects are immutable and addressed by the digest of their content.
class ObjectStore
{
public:
    using GetCallback = std::function<void(const absl::Status &, std::string body)>;
    using PutCallback = std::function<void(const absl::Status &)>;

    virtual ~ObjectStore() = default;

    /// Errors: unknownRequest (no such object), platformUnavailable.
    virtual void get(std::string_view key, GetCallback callback) = 0;
    /// Errors: platformUnavailable, fateUnknown. May be repeated, since objects are immutable.
    virtual void put(std::string_view key, std::string body, PutCallback callback) = 0;
};

} // namespace Storage
