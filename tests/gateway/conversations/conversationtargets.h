#pragma once

#include "gateway/conversations/answertext.h"
#include "gateway/conversations/conversation.h"
#include "support/scriptedtarget.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Heatherridge
{

/** The targets of a conversation, which answer each attempt at a request as the plan says, whichever target it reaches.
 */
class ConversationTargets
{
public:
    /** @param address on which the targets listen */
    ConversationTargets(const ConversationPlan &plan, const std::string &address);

    std::vector<const ScriptedTarget *> all() const;

    /** Ends a target as a crash of its process does. */
    void crash(std::size_t target);

    /** Returns what the targets have received and sent so far. */
    std::vector<ObservedAttempt> attempts() const;

private:
    std::vector<TargetAction> actionsFor(const std::string &request, std::size_t target);
    std::vector<TargetAction> actionsFor(const AnswerPlan &plan, ObservedAttempt &attempt);
    std::vector<TargetAction> sendAnswer(const AnswerPlan &plan, ObservedAttempt &attempt);
    void noteEnd(int attempt);
    std::string surplusOf(const AnswerPlan &plan, const ObservedAttempt &attempt, const std::string &method) const;
    std::string idFor(AnswerPlan::IdOf idOf, const std::string &own) const;

    std::map<std::string, std::vector<AnswerPlan>> m_answers; ///< to each attempt at a request, by its id
    mutable std::mutex m_mutex;
    std::map<std::string, std::size_t> m_attemptCounts; ///< at each request, by its id
    std::vector<ObservedAttempt> m_attempts;
    std::string m_lastId; ///< of the last request before the one that is answered
    std::vector<std::unique_ptr<ScriptedTarget>> m_targets; ///< last: their threads use the other members
};

} // namespace Heatherridge
