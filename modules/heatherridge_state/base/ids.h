#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace Heatherridge
{

/**
 * Strongly typed name that can't be mixed up with names of another kind.
 *
 * Owns its text. Value type: copies can be passed to other threads; concurrent modification is not safe.
 *
 * @tparam Tag an empty type that distinguishes one kind of name from another
 */
template<typename Tag>
class Name
{
public:
    Name() = default;

    /** Constructs a name from @p text; an empty text gives the null name. */
    explicit Name(std::string text)
        : m_text(std::move(text))
    {
    }

    /** Returns the text as it was passed to the constructor. */
    const std::string &text() const
    {
        return m_text;
    }

    /** Returns whether this is the null name. */
    bool isEmpty() const
    {
        return m_text.empty();
    }

    auto operator<=>(const Name &) const = default;
    bool operator==(const Name &) const = default;

private:
    std::string m_text;
};

/** A machine listed in the operator's asset register. */
using HostName = Name<struct HostTag>;
/** An availability zone. */
using ZoneName = Name<struct ZoneTag>;
/** A region, which consists of availability zones. */
using RegionName = Name<struct RegionTag>;
/** A customer of the operator; capacity is shared fairly between workspaces. */
using WorkspaceName = Name<struct WorkspaceTag>;
/** A back end: a model engine or an instance of a plain service. */
using TargetName = Name<struct TargetTag>;
/** A model service or plain service that is provided by a set of equivalent targets. */
using ServiceName = Name<struct ServiceTag>;
/** A model, adapter or version, as named by callers. */
using ModelName = Name<struct ModelTag>;
/** A group of ranks that run in lock step; callers see a group as one replica. */
using GroupName = Name<struct GroupTag>;
/** A process of this system. The name stays the same across restarts, which are distinguished by Incarnation. */
using ProcessName = Name<struct ProcessTag>;
/** Id of a request, unique across all entry processes and included in every response. */
using RequestId = Name<struct RequestTag>;
/** Id of a publish by an operator; retries of the publish use the same id. */
using OperationId = Name<struct OperationTag>;
/** Idempotency key sent by a caller. */
using IdempotencyKey = Name<struct IdempotencyTag>;

/** Position of a record in a stream of the platform's log. The first record has offset 1; 0 means nothing was read. */
enum class LogOffset : std::uint64_t {};

/** Returns the numeric value of @p offset, for arithmetic and printing. */
constexpr std::uint64_t toNumber(LogOffset offset)
{
    return static_cast<std::uint64_t>(offset);
}

/** Returns the offset that follows @p offset. */
constexpr LogOffset next(LogOffset offset)
{
    return static_cast<LogOffset>(toNumber(offset) + 1);
}

/** Identifies one run of a process. Chosen at random when the process starts, so that others can detect a restart. */
enum class Incarnation : std::uint64_t {};

/** Returns the numeric value of @p incarnation. */
constexpr std::uint64_t toNumber(Incarnation incarnation)
{
    return static_cast<std::uint64_t>(incarnation);
}

/** Log offset of the record that claimed a role. Of two holders, the one with the higher number claimed it later. */
enum class FencingNumber : std::uint64_t {};

/** Returns the numeric value of @p number. */
constexpr std::uint64_t toNumber(FencingNumber number)
{
    return static_cast<std::uint64_t>(number);
}

} // namespace Heatherridge

/** Hashes the text of a name, for use in unordered containers. */
template<typename Tag>
struct std::hash<Heatherridge::Name<Tag>>
{
    std::size_t operator()(const Heatherridge::Name<Tag> &name) const noexcept
    {
        return std::hash<std::string>{}(name.text());
    }
};
