#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace Heatherridge
{

/**
 * A name that is not interchangeable with names of another kind.
 *
 * Owns its text. Value type: safe to copy to another thread, not to share while changing.
 *
 * @tparam Tag an empty type that tells one kind of name from another
 */
template<typename Tag>
class Name
{
public:
    Name() = default;

    /** Wraps @p text; an empty text is the null name. */
    explicit Name(std::string text)
        : m_text(std::move(text))
    {
    }

    /** The text as written. */
    const std::string &text() const
    {
        return m_text;
    }

    /** Whether this is the null name. */
    bool isEmpty() const
    {
        return m_text.empty();
    }

    auto operator<=>(const Name &) const = default;
    bool operator==(const Name &) const = default;

private:
    std::string m_text;
};

/** One machine of the operator's asset register. */
using HostName = Name<struct HostTag>;
/** One availability zone. */
using ZoneName = Name<struct ZoneTag>;
/** One region; zones belong to regions. */
using RegionName = Name<struct RegionTag>;
/** One customer of the operator; the unit of fairness. */
using WorkspaceName = Name<struct WorkspaceTag>;
/** One back end: a model engine, or an instance of a plain service. */
using TargetName = Name<struct TargetTag>;
/** What a set of equal targets serves: a model service or a plain service. */
using ServiceName = Name<struct ServiceTag>;
/** One model, adapter or version as callers name it. */
using ModelName = Name<struct ModelTag>;
/** One lock-step group of ranks; to callers a group is one replica. */
using GroupName = Name<struct GroupTag>;
/** One process of this system, over restarts (its incarnation tells them apart). */
using ProcessName = Name<struct ProcessTag>;
/** One request, unique over all entries; every answer carries it. */
using RequestId = Name<struct RequestTag>;
/** One publish of an operator; the same over its retries. */
using OperationId = Name<struct OperationTag>;
/** A caller's idempotency key. */
using IdempotencyKey = Name<struct IdempotencyTag>;

/** Position of a record in one stream of the platform's log; the first record has offset 1, 0 means "nothing read". */
enum class LogOffset : std::uint64_t {};

/** The number as such, for arithmetic and for printing. */
constexpr std::uint64_t toNumber(LogOffset offset)
{
    return static_cast<std::uint64_t>(offset);
}

/** The offset after @p offset. */
constexpr LogOffset next(LogOffset offset)
{
    return static_cast<LogOffset>(toNumber(offset) + 1);
}

/** One run of a process: drawn at random at its start, so that a restart is seen as such. */
enum class Incarnation : std::uint64_t {};

/** The number as such. */
constexpr std::uint64_t toNumber(Incarnation incarnation)
{
    return static_cast<std::uint64_t>(incarnation);
}

/** The log offset of the record by which a role was claimed; of two holders the higher number is the later. */
enum class FencingNumber : std::uint64_t {};

/** The number as such. */
constexpr std::uint64_t toNumber(FencingNumber number)
{
    return static_cast<std::uint64_t>(number);
}

} // namespace Heatherridge

/** Hashes a name by its text, for unordered containers. */
template<typename Tag>
struct std::hash<Heatherridge::Name<Tag>>
{
    std::size_t operator()(const Heatherridge::Name<Tag> &name) const noexcept
    {
        return std::hash<std::string>{}(name.text());
    }
};
