// Strong types for identifiers and counters. An identifier of one kind can't be passed where
// another kind is expected.
// clang-tidy 14 takes the literal zero in a defaulted operator<=> for a null pointer, hence NOLINT.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace Base {

/// Textual identifier. Ordered and hashable, so it can be used as a container key.
template<class Tag>
class Id
{
public:
    Id() = default;
    explicit Id(std::string value)
        : m_value(std::move(value))
    {}

    const std::string &value() const { return m_value; }
    bool isEmpty() const { return m_value.empty(); }

    auto operator<=>(const Id &) const = default; // NOLINT(modernize-use-nullptr)

    friend std::ostream &operator<<(std::ostream &out, const Id &id) { return out << id.m_value; }

private:
    std::string m_value;
};

/// Strongly typed unsigned counter or index.
template<class Tag>
class Number
{
public:
    constexpr Number() = default;
    constexpr explicit Number(std::uint64_t value)
        : m_value(value)
    {}

    constexpr std::uint64_t value() const { return m_value; }
    constexpr Number next() const { return Number(m_value + 1); }

    constexpr auto operator<=>(const Number &) const = default; // NOLINT(modernize-use-nullptr)

    friend std::ostream &operator<<(std::ostream &out, const Number &n) { return out << n.m_value; }

private:
    std::uint64_t m_value = 0;
};

using DaemonId = Id<struct DaemonIdTag>;
using FailureDomainId = Id<struct FailureDomainIdTag>;
using KindId = Id<struct KindIdTag>;
using RequestKey = Id<struct RequestKeyTag>;
using TeamId = Id<struct TeamIdTag>;
using UpstreamGroupId = Id<struct UpstreamGroupIdTag>;
using UpstreamId = Id<struct UpstreamIdTag>;

using Epoch = Number<struct EpochTag>;
/// Distinguishes successive processes with one daemon id; increases with every restart.
using Incarnation = Number<struct IncarnationTag>;
using Revision = Number<struct RevisionTag>;
using TaskIndex = Number<struct TaskIndexTag>;
/// Index of a shard within its failure domain.
using ShardIndex = Number<struct ShardIndexTag>;

/// Identity of a request: the caller's idempotency key within its team.
struct RequestId
{
    TeamId team;
    RequestKey key;

    auto operator<=>(const RequestId &) const = default; // NOLINT(modernize-use-nullptr)
};

/// A shard of the key space. It belongs to its home failure domain and never moves to another.
struct ShardId
{
    FailureDomainId domain;
    ShardIndex index;

    auto operator<=>(const ShardId &) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace Base

template<class Tag>
struct std::hash<Base::Id<Tag>>
{
    std::size_t operator()(const Base::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};

template<class Tag>
struct std::hash<Base::Number<Tag>>
{
    std::size_t operator()(const Base::Number<Tag> &n) const noexcept
    {
        return std::hash<std::uint64_t>()(n.value());
    }
};

template<>
struct std::hash<Base::RequestId>
{
    std::size_t operator()(const Base::RequestId &id) const noexcept
    {
        const std::size_t h = std::hash<Base::TeamId>()(id.team);
        return h * 1000003U ^ std::hash<Base::RequestKey>()(id.key);
    }
};

template<>
struct std::hash<Base::ShardId>
{
    std::size_t operator()(const Base::ShardId &id) const noexcept
    {
        const std::size_t h = std::hash<Base::FailureDomainId>()(id.domain);
        return h * 1000003U ^ std::hash<Base::ShardIndex>()(id.index);
    }
};
