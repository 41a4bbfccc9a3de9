#pragma once

#include "gateway/conversations/conversationplan.h"
#include "gateway/gatewayfixture.h"

#include <optional>
#include <string>
#include <vector>

namespace Heatherridge
{

/** Events of a complete stream, numbered from 1. */
constexpr int StreamEvents = 4;

/** One request as a target received it, and what the target sent. */
struct ObservedAttempt
{
    int number = 0; ///< in the order in which all targets received requests
    std::size_t target = 0; ///< index of the target
    std::string request{}; ///< head and body
    std::string id{};
    int status = 0; ///< of the answer to the request; 0 if there was none
    std::string signature{}; ///< of the answer; empty if it has none
    std::string body{}; ///< of the answer, as far as the target sent it
    bool isWhole = false; ///< whether all of the answer was sent, so far as its reader can tell
    bool hasRun = false; ///< whether the target ran the request
    bool isSound = false; ///< whether a gateway that does its part delivers this answer whole
    bool leavesCleanConnection = false; ///< whether the connection may carry the next request
    bool endsWithConnection = false; ///< the end of the connection is the end of the answer
    std::optional<std::chrono::steady_clock::time_point> endedAt{}; ///< when all was sent on a connection left open
    bool hasTargetCrashed = false; ///< before the end of the conversation
};

/** One request as a caller sent it, and what the caller received. */
struct ObservedRequest
{
    RequestPlan plan{};
    std::string id{};
    std::string path{};
    std::string body{};
    RawCaller::Answer answer{}; ///< status 0 if there was none
    int continues = 0; ///< answers with status 100 before the answer
    std::chrono::steady_clock::time_point sentAt{}; ///< its first byte, or that of the first request sent with it
    bool isClosedBefore = false; ///< the connection ended before the answer to this pipelined request was due
    bool hasLeft = false; ///< the caller closed the connection before the end of the answer
};

/** What was seen from outside of the gateway in one conversation. */
struct ObservedConversation
{
    std::vector<std::vector<ObservedRequest>> callers{};
    std::vector<ObservedAttempt> attempts{};
    int surplusBytes = 0; ///< received by callers after their last answers
    bool isDisturbed = false; ///< the gateway was stopped meanwhile, or a target withdrawn or crashed
    std::int64_t heldBytes = 0; ///< of callers, at the gateway, after all callers have closed their connections
};

/** Returns the id of a request, by its caller and its place among that caller's requests. */
std::string requestId(std::size_t caller, std::size_t request);

/** Lets callers and targets talk as @p plan says, through a gateway of its own. */
ObservedConversation hold(const ConversationPlan &plan);

/** Returns @p record as text, for the report of a failed test. */
std::string toText(const ObservedConversation &record);

} // namespace Heatherridge
