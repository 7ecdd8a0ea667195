
        : m_value(std::move(value))
        : m_value(value)
        const std::size_t h = std::hash<Base::FailureDomainId>()(id.domain);
        const std::size_t h = std::hash<Base::TeamId>()(id.team);
        return h * 1000003U ^ std::hash<Base::RequestKey>()(id.key);
        return h * 1000003U ^ std::hash<Base::ShardIndex>()(id.index);
        return std::hash<std::string>()(id.value());
        return std::hash<std::uint64_t>()(n.value());
        return std::tie(domain, index) <=> std::tie(other.domain, other.index);
        return std::tie(team, key) <=> std::tie(other.team, other.key);
    // Spelled out, because clang-tidy-14 reports defaulted three-way comparisons as null pointers.
    FailureDomainId domain;
    Id() = default;
    RequestKey key;
    ShardIndex index;
    TeamId team;
    auto operator<=>(const Id &) const = default; // NOLINT(modernize-use-nullptr)
    auto operator<=>(const Id &other) const { return m_value <=> other.m_value; }
    auto operator<=>(const RequestId &) const = default; // NOLINT(modernize-use-nullptr)
    auto operator<=>(const RequestId &other) const
    auto operator<=>(const ShardId &) const = default; // NOLINT(modernize-use-nullptr)
    auto operator<=>(const ShardId &other) const
    bool isEmpty() const { return m_value.empty(); }
    bool operator==(const Id &) const = default;
    bool operator==(const RequestId &) const = default;
    bool operator==(const ShardId &) const = default;
    const std::string &value() const { return m_value; }
    constexpr Number next() const { return Number(m_value + 1); }
    constexpr Number() = default;
    constexpr auto operator<=>(const Number &) const = default; // NOLINT(modernize-use-nullptr)
    constexpr auto operator<=>(const Number &other) const { return m_value <=> other.m_value; }
    constexpr bool operator==(const Number &) const = default;
    constexpr explicit Number(std::uint64_t value)
    constexpr std::uint64_t value() const { return m_value; }
    explicit Id(std::string value)
    friend std::ostream &operator<<(std::ostream &out, const Id &id) { return out << id.m_value; }
    friend std::ostream &operator<<(std::ostream &out, const Number &n) { return out << n.m_value; }
    std::size_t operator()(const Base::Id<Tag> &id) const noexcept
    std::size_t operator()(const Base::Number<Tag> &n) const noexcept
    std::size_t operator()(const Base::RequestId &id) const noexcept
    std::size_t operator()(const Base::ShardId &id) const noexcept
    std::string m_value;
    std::uint64_t m_value = 0;
    {
    {}
    }
#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#pragma once
// Strong types for identifiers and counters. An identifier of one kind can't be passed where
// another kind is expected.
// clang-tidy 14 takes the literal zero in a defaulted operator<=> for a null pointer, hence NOLINT.
/// A shard of the key space. It lives in its home failure domain and never moves to another one.
/// Distinguishes the runs of one daemon id; a restarted daemon has a new, higher one.
/// Identity of a request: the caller's idempotency key within its team.
/// Index of a shard within its failure domain.
/// Textual identifier. Ordered and hashable, so it can address objects in containers.
/// Unsigned counter or index with a type of its own.
class Id
class Number
namespace Base {
private:
public:
struct RequestId
struct ShardId
struct std::hash<Base::Id<Tag>>
struct std::hash<Base::Number<Tag>>
struct std::hash<Base::RequestId>
struct std::hash<Base::ShardId>
template<>
template<class Tag>
using DaemonId = Id<struct DaemonIdTag>;
using Epoch = Number<struct EpochTag>;
using FailureDomainId = Id<struct FailureDomainIdTag>;
using Incarnation = Number<struct IncarnationTag>;
using KindId = Id<struct KindIdTag>;
using RequestKey = Id<struct RequestKeyTag>;
using Revision = Number<struct RevisionTag>;
using ShardIndex = Number<struct ShardIndexTag>;
using TaskIndex = Number<struct TaskIndexTag>;
using TeamId = Id<struct TeamIdTag>;
using UpstreamGroupId = Id<struct UpstreamGroupIdTag>;
using UpstreamId = Id<struct UpstreamIdTag>;
{
} // namespace Base
};
