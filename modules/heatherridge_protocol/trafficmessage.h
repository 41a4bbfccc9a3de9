#pragma once

#include "heatherridge_protocol/envelope.h"

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Heatherridge
{

/** A header field of a relayed request or answer. */
struct HeaderField
{
    std::string name{};
    std::string value{};

    bool operator==(const HeaderField &) const = default;
};

/** Sent by an entry to submit a caller's request to the selected target. */
struct SubmitRequest
{
    RequestId id{};
    WorkspaceName workspace{};
    ServiceName service{};
    std::string method{};
    std::string path{}; ///< path sent to the back end, without the query
    std::string query{};
    std::vector<HeaderField> headers{};
    Bytes body{};
    int priority = 0; ///< requests with higher values are served first
    std::chrono::milliseconds timeLeft{
        0}; ///< time until the caller's deadline, measured when the entry sent the message
    IdempotencyKey key{}; ///< empty if the caller sent none
    bool mayRepeat = false; ///< whether the rule set declares that it is safe to run the request twice
    std::uint64_t cost = 1; ///< expected work in tokens; the unit of fair sharing
    std::uint64_t uncachedPromptTokens =
        0; ///< prompt tokens that the target is expected to compute because its cache does not hold them
    int attempt = 1; ///< 1 for the first attempt; 2 and higher for retries and hedged requests

    bool operator==(const SubmitRequest &) const = default;
};

/** Sent when the caller has disconnected or the entry has abandoned the request: the target stops the work, if it is
 * running, and discards the request. */
struct CancelRequest
{
    RequestId id{};

    bool operator==(const CancelRequest &) const = default;
};

/** Flow control: the entry has forwarded this number of further bytes, and the target may send as many more. */
struct GrantCredit
{
    RequestId id{};
    std::uint64_t bytes = 0;

    bool operator==(const GrantCredit &) const = default;
};

/** Status and headers of an answer; sent before its chunks. */
struct AnswerHead
{
    RequestId id{};
    int status = 200;
    std::vector<HeaderField> headers{};

    bool operator==(const AnswerHead &) const = default;
};

/** A chunk of an answer's body. */
struct AnswerChunk
{
    RequestId id{};
    std::uint64_t sequence = 0; ///< starts at 0 and increases without gaps
    Bytes bytes{};

    bool operator==(const AnswerChunk &) const = default;
};

/** Marks the answer as complete. */
struct AnswerEnd
{
    RequestId id{};
    std::uint64_t chunks = 0; ///< total number of chunks of the answer

    bool operator==(const AnswerEnd &) const = default;
};

/** Reports that there is no answer or that the answer is incomplete. */
struct AnswerError
{
    RequestId id{};
    ErrorKind kind = ErrorKind::Internal;
    ExecutionStatus ran = ExecutionStatus::Unknown; ///< as reported by the process that may have run the request
    std::optional<std::chrono::milliseconds> retryAfter{};
    std::string detail{};
    TargetName redirectTarget{}; ///< target whose process may hold the request's key; empty if unknown

    bool operator==(const AnswerError &) const = default;
};

/** Load of a target, sent to entries by the target's process without a request. */
struct LoadReport
{
    TargetName target{};
    std::uint64_t running = 0; ///< running requests
    std::uint64_t queued = 0; ///< requests queued at the target's process
    std::uint64_t limit = 0; ///< current limit of concurrent requests
    bool draining = false; ///< accepts no new work
    double load = 0; ///< cost of running and waiting requests from all entries
    double loadOfEntry = 0; ///< the part of `load` that comes from the receiving entry
    double capacity = 0; ///< load at which the target is fully used; 0 while unknown
    double pressure = 1; ///< cost offered divided by cost started over the last seconds
    double pendingPrompt = 0; ///< prompt tokens of started requests that are not computed yet
    double warmth = 1; ///< 0 to 1: fraction of its normal share during slow start
    std::chrono::microseconds
        tokenInterval{}; ///< smoothed time between tokens, or smoothed duration of a plain call; 0 while unknown

    bool operator==(const LoadReport &) const = default;
};

/** All messages on Channel::Traffic. */
using TrafficMessage = std::variant<SubmitRequest, CancelRequest, GrantCredit, AnswerHead, AnswerChunk, AnswerEnd,
                                    AnswerError, LoadReport>;

/** Encodes @p message as the payload of an envelope on Channel::Traffic. */
Bytes encode(const TrafficMessage &message);

/** Decodes the payload of an envelope on Channel::Traffic. Invalid or hostile input yields MalformedFrame, never an
 * exception. */
Result<TrafficMessage> decodeTrafficMessage(const Bytes &payload);

} // namespace Heatherridge
