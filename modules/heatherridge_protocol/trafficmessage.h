#pragma once

#include "heatherridge_protocol/envelope.h"

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Heatherridge
{

/** One header field of a relayed request or answer. */
struct HeaderField
{
    std::string name{};
    std::string value{};

    bool operator==(const HeaderField &) const = default;
};

/** An entry hands a caller's request to the target that it chose. */
struct SubmitRequest
{
    RequestId id{};
    WorkspaceName workspace{};
    ServiceName service{};
    std::string method{};
    std::string path{}; ///< as the back end is to see it, without the query
    std::string query{};
    std::vector<HeaderField> headers{};
    Bytes body{};
    int priority = 0; ///< higher first
    std::chrono::milliseconds timeLeft{0}; ///< until the caller's deadline, when the entry sent it
    IdempotencyKey key{}; ///< empty when the caller gave none
    bool mayRepeat = false; ///< whether running it twice does no harm, by the rule set
    std::uint64_t cost = 1; ///< expected work in tokens; the unit of fair shares
    std::uint64_t uncachedPromptTokens =
        0; ///< prompt tokens that the target is expected to compute, its cache considered
    int attempt = 1; ///< 1 for the first try; 2 and up for retries and hedges

    bool operator==(const SubmitRequest &) const = default;
};

/** The caller has left or the entry has given up: stop the work, if it runs, and forget it. */
struct CancelRequest
{
    RequestId id{};

    bool operator==(const CancelRequest &) const = default;
};

/** The entry has passed on so many more bytes; the target may send as many (back pressure). */
struct GrantCredit
{
    RequestId id{};
    std::uint64_t bytes = 0;

    bool operator==(const GrantCredit &) const = default;
};

/** Status and headers of an answer; comes before its chunks. */
struct AnswerHead
{
    RequestId id{};
    int status = 200;
    std::vector<HeaderField> headers{};

    bool operator==(const AnswerHead &) const = default;
};

/** One piece of an answer's body. */
struct AnswerChunk
{
    RequestId id{};
    std::uint64_t sequence = 0; ///< counts up from 0 without gaps
    Bytes bytes{};

    bool operator==(const AnswerChunk &) const = default;
};

/** The answer is whole. */
struct AnswerEnd
{
    RequestId id{};
    std::uint64_t chunks = 0; ///< how many chunks it had

    bool operator==(const AnswerEnd &) const = default;
};

/** There is no answer, or no whole one. */
struct AnswerError
{
    RequestId id{};
    ErrorKind kind = ErrorKind::Internal;
    Ran ran = Ran::Unknown; ///< the word of the process that could have run it
    std::optional<std::chrono::milliseconds> retryAfter{};
    std::string detail{};
    TargetName redirectTarget{}; ///< a target whose process may know the request's key; empty for none

    bool operator==(const AnswerError &) const = default;
};

/** What a target's process tells entries about its load, unasked. */
struct LoadReport
{
    TargetName target{};
    std::uint64_t running = 0; ///< requests being worked on
    std::uint64_t queued = 0; ///< requests waiting at the target's process
    std::uint64_t limit = 0; ///< how many may run at a time now
    bool draining = false; ///< takes no new work
    double load = 0; ///< cost that runs and waits, from all entries
    double loadOfEntry = 0; ///< the part of the entry that gets this report
    double capacity = 0; ///< load at which the target is full; 0 while unknown
    double pressure = 1; ///< cost offered over cost started lately
    double pendingPrompt = 0; ///< prompt tokens started on and not yet computed
    double warmth = 1; ///< 0 to 1: part of its share in slow start
    std::chrono::microseconds tokenInterval{}; ///< smoothed time between tokens, or of a plain call; 0 while unknown

    bool operator==(const LoadReport &) const = default;
};

/** Every message of Channel::Traffic. */
using TrafficMessage = std::variant<SubmitRequest, CancelRequest, GrantCredit, AnswerHead, AnswerChunk, AnswerEnd,
                                    AnswerError, LoadReport>;

/** The payload of an Envelope on Channel::Traffic for @p message. */
Bytes encode(const TrafficMessage &message);

/** Reads the payload of an Envelope on Channel::Traffic. Hostile input yields MalformedFrame, never an exception. */
Result<TrafficMessage> decodeTrafficMessage(const Bytes &payload);

} // namespace Heatherridge
