#include "gateway/conversations/conversationtargets.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

using std::chrono::milliseconds;
using Actions = std::vector<TargetAction>;
using ActionKind = TargetAction::Kind;
using Surplus = AnswerPlan::Surplus;

std::string streamBody(const ObservedAttempt &attempt, const AnswerPlan &plan)
{
    const auto lastId = requestHeader(attempt.request, "Last-Event-Id");
    // A stream that is not resumed begins with its first event.
    const auto first = lastId.empty() ? 1 : std::max(1, std::stoi(lastId) + 1 + plan.eventShift);
    std::string body;
    for (int event = first; event <= StreamEvents; ++event) {
        body += streamEvent(attempt.id, event, attempt.number, plan);
    }
    return body;
}

/** Returns how many bytes of @p text are sent. */
std::size_t sentSize(const AnswerPlan &plan, const AnswerText &text)
{
    using From = AnswerPlan::Cut::From;
    const auto size = text.bytes.size();
    if (!plan.cut && plan.kind != AnswerPlan::Kind::Crash) {
        return size;
    }
    const auto cut = plan.cut.value_or(AnswerPlan::Cut{});
    const auto distance = static_cast<std::size_t>(cut.distance) % (size + 1);
    switch (cut.from) {
    case From::Start:
        return distance;
    case From::Body:
        return std::min(size, text.bodyStart + distance);
    case From::End:
        return size - distance;
    }
    return size;
}

Actions writesOf(const std::string &bytes, const AnswerPlan &plan)
{
    Actions actions;
    const auto part = bytes.size() / static_cast<std::size_t>(plan.writes) + 1;
    for (std::size_t position = 0; position < bytes.size(); position += part) {
        if (plan.delay.count() > 0) {
            actions.push_back({.kind = ActionKind::Wait, .duration = plan.delay});
        }
        actions.push_back({.bytes = bytes.substr(position, part)});
    }
    return actions;
}

void addEnd(Actions &actions, const AnswerPlan &plan)
{
    if (plan.kind == AnswerPlan::Kind::Crash) {
        actions.push_back({.kind = ActionKind::Crash});
    } else if (plan.ending == AnswerPlan::Ending::Reset) {
        // The gateway reads the bytes first, which a reset may discard.
        actions.push_back({.kind = ActionKind::Wait, .duration = milliseconds(2)});
        actions.push_back({.kind = ActionKind::Reset});
    } else if (plan.ending == AnswerPlan::Ending::Close) {
        actions.push_back({.kind = ActionKind::Close});
    }
}

bool isWholeAfter(std::size_t size, const AnswerText &text, const AnswerPlan &plan, bool hasEvents)
{
    if (!text.endsWithConnection) {
        return size >= text.wholeAt;
    }
    const bool isReset = plan.ending == AnswerPlan::Ending::Reset && plan.kind != AnswerPlan::Kind::Crash;
    // A stream that ends before its first event or inside an event shows by itself that it is not whole.
    return size >= text.bodyStart && !isReset && (!hasEvents || text.bodyWithin(size).ends_with("\n\n"));
}

} // namespace

ConversationTargets::ConversationTargets(const ConversationPlan &plan, const std::string &address)
{
    for (std::size_t caller = 0; caller < plan.callers.size(); ++caller) {
        for (std::size_t request = 0; request < plan.callers[caller].size(); ++request) {
            m_answers[requestId(caller, request)] = plan.callers[caller][request].answers;
        }
    }
    for (std::size_t i = 0; i < static_cast<std::size_t>(plan.targets); ++i) {
        m_targets.push_back(std::make_unique<ScriptedTarget>(
            [this, i](const std::string &request, int) { return actionsFor(request, i); }, address));
    }
}

std::vector<const ScriptedTarget *> ConversationTargets::all() const
{
    std::vector<const ScriptedTarget *> targets;
    std::transform(m_targets.begin(), m_targets.end(), std::back_inserter(targets),
                   [](const auto &target) { return target.get(); });
    return targets;
}

void ConversationTargets::crash(std::size_t target)
{
    m_targets.at(target)->crash();
}

std::vector<ObservedAttempt> ConversationTargets::attempts() const
{
    const std::lock_guard lock(m_mutex);
    auto attempts = m_attempts;
    for (auto &attempt : attempts) {
        attempt.hasTargetCrashed = m_targets.at(attempt.target)->hasCrashed();
    }
    return attempts;
}

Actions ConversationTargets::actionsFor(const std::string &request, std::size_t target)
{
    const std::lock_guard lock(m_mutex);
    const auto index = m_attempts.size();
    ObservedAttempt attempt{.number = static_cast<int>(index),
                            .target = target,
                            .request = request,
                            .id = requestHeader(request, "X-Heatherridge-Request-Id")};
    const auto answers = m_answers.find(attempt.id);
    const auto answer = m_attemptCounts[attempt.id]++;
    const bool isPlanned = answers != m_answers.end() && answer < answers->second.size();
    const auto plan = isPlanned ? answers->second[answer] : AnswerPlan{};
    auto actions = actionsFor(plan, attempt);
    m_lastId = attempt.id;
    m_attempts.push_back(std::move(attempt));
    return actions;
}

Actions ConversationTargets::actionsFor(const AnswerPlan &plan, ObservedAttempt &attempt)
{
    attempt.hasRun = plan.kind != AnswerPlan::Kind::Refusal;
    attempt.isSound = plan.isSound();
    attempt.leavesCleanConnection = plan.leavesCleanConnection();
    if (plan.kind == AnswerPlan::Kind::Silence) {
        return {{.kind = ActionKind::AwaitClose}};
    }
    if (plan.kind == AnswerPlan::Kind::Garbage) {
        return {{.bytes = "id: 1\ndata: x\n\nHTTP/9 what\r\n\r\n"}, {.kind = ActionKind::Close}};
    }
    return sendAnswer(plan, attempt);
}

Actions ConversationTargets::sendAnswer(const AnswerPlan &plan, ObservedAttempt &attempt)
{
    const auto method = attempt.request.substr(0, attempt.request.find(' '));
    const bool isStream = attempt.request.find(" /stream/") < attempt.request.find("\r\n");
    const bool hasEvents = isStream && plan.status == 200 && plan.kind != AnswerPlan::Kind::Refusal;
    const auto body = hasEvents
        ? streamBody(attempt, plan)
        : "answer " + std::to_string(attempt.number) + " to " + attempt.id + std::string(plan.fillBytes, 'x');
    attempt.signature = plan.isSigned ? "s" + std::to_string(attempt.number) : "";
    attempt.status = plan.status;
    const auto text = answerText(plan,
                                 {.status = plan.status,
                                  .id = idFor(plan.idOf, attempt.id),
                                  .signature = attempt.signature,
                                  .isRefusal = plan.kind == AnswerPlan::Kind::Refusal},
                                 method, body);
    const auto size = sentSize(plan, text);
    attempt.body = text.bodyWithin(size);
    attempt.isWhole = isWholeAfter(size, text, plan, hasEvents);
    attempt.endsWithConnection = text.endsWithConnection;
    const auto surplus = plan.cut || plan.kind == AnswerPlan::Kind::Crash ? "" : surplusOf(plan, attempt, method);
    auto bytes = text.bytes.substr(0, size);
    if (plan.surplus == Surplus::Before) {
        bytes.insert(0, surplus);
    } else if (plan.surplus == Surplus::Together) {
        bytes += surplus;
    }
    auto actions = writesOf(bytes, plan);
    if (plan.surplus == Surplus::Late || plan.surplus == Surplus::Duplicate) {
        actions.push_back({.kind = ActionKind::Wait, .duration = plan.surplusDelay});
        actions.push_back({.bytes = plan.surplus == Surplus::Late ? surplus : text.bytes});
    }
    if (plan.ending == AnswerPlan::Ending::KeepOpen) {
        actions.push_back({.kind = ActionKind::Call, .call = [this, number = attempt.number] { noteEnd(number); }});
    }
    addEnd(actions, plan);
    return actions;
}

void ConversationTargets::noteEnd(int attempt)
{
    const std::lock_guard lock(m_mutex);
    m_attempts.at(static_cast<std::size_t>(attempt)).endedAt = std::chrono::steady_clock::now();
}

std::string ConversationTargets::surplusOf(const AnswerPlan &plan, const ObservedAttempt &attempt,
                                           const std::string &method) const
{
    // With the id of the request, an answer before the answer would be the answer.
    const auto idOf = plan.surplus == Surplus::Before ? AnswerPlan::IdOf::Other : plan.surplusIdOf;
    const auto id = idFor(idOf, attempt.id);
    return answerText({},
                      {.status = plan.surplusStatus,
                       .id = plan.surplus == Surplus::Before && id == attempt.id ? "none" : id,
                       .signature = "x" + std::to_string(attempt.number),
                       .isRefusal = plan.surplusStatus == 503},
                      method, "surplus of " + attempt.id)
        .bytes;
}

std::string ConversationTargets::idFor(AnswerPlan::IdOf idOf, const std::string &own) const
{
    switch (idOf) {
    case AnswerPlan::IdOf::Request:
        return own;
    case AnswerPlan::IdOf::Other:
        return m_lastId.empty() ? "none" : m_lastId;
    case AnswerPlan::IdOf::Nobody:
        return {};
    }
    return {};
}

} // namespace Heatherridge
