#include "gateway/conversations/conversationrules.h"

#include "gateway/conversations/answertext.h"
#include "support/scriptedtarget.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

using Attempts = std::vector<const ObservedAttempt *>;

std::string headerIn(const std::string &head, const std::string &name)
{
    const auto text = "\n" + head;
    const auto position = text.find("\n" + name + ": ");
    if (position == std::string::npos) {
        return {};
    }
    const auto start = position + name.size() + 3;
    return text.substr(start, text.find('\n', start) - start);
}

/** Returns the number of an event that streamEvent() has made. */
std::uint64_t eventNumber(const std::string &event)
{
    const std::string before = " event ";
    return std::stoull(event.substr(event.find(before) + before.size()));
}

bool isPromise(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/** Checks one request of a caller against the attempts at it. */
class RequestRules
{
public:
    RequestRules(const ObservedRequest &request, Attempts attempts, bool isUndisturbed)
        : m_request(request)
        , m_answer(request.answer)
        , m_attempts(std::move(attempts))
        , m_isUndisturbed(isUndisturbed)
    {
    }

    std::vector<std::string> check()
    {
        checkAttempts();
        if (m_request.hasLeft || m_request.isClosedBefore) {
            return m_broken;
        }
        require(!m_answer.hasTimedOut, "no answer and no end of the connection in time");
        require(m_answer.isInProtocol, "bytes that are no answer in the protocol");
        require(m_request.continues == 0 || m_request.plan.expectsContinue, "100 Continue that was not asked for");
        require(m_request.continues <= 1, "more than one 100 Continue");
        if (m_answer.status != 0) {
            checkAnswer();
        }
        if (m_request.plan.isHttp10) {
            require(headerIn(m_answer.head, "Transfer-Encoding").empty(), "chunks for a caller of HTTP/1.0");
            require(m_request.continues == 0, "100 Continue for a caller of HTTP/1.0");
        }
        checkEffort();
        return m_broken;
    }

private:
    void require(bool holds, const std::string &what)
    {
        if (!holds) {
            m_broken.push_back(m_request.id + ": " + what);
        }
    }

    bool isStream() const
    {
        return m_request.plan.route == RequestPlan::Route::Stream;
    }

    void checkAttempts()
    {
        const auto runs = std::count_if(m_attempts.begin(), m_attempts.end(), [](const auto *a) { return a->hasRun; });
        require(m_request.plan.route != RequestPlan::Route::Booking || runs <= 1, "a booking ran more than once");
        for (const auto *attempt : m_attempts) {
            const auto &text = attempt->request;
            require(text.starts_with(m_request.plan.method + " " + m_request.path + " "),
                    "a target got another method or path");
            require(text.ends_with("\r\n\r\n" + m_request.body), "a target got another body");
        }
        require(!isPromise(m_answer.status) || runs == 0,
                "answered " + std::to_string(m_answer.status) + ", which says that it has not run, though it has");
    }

    void checkAnswer()
    {
        const auto signature = headerIn(m_answer.head, "X-Heatherridge-Response-Signature");
        require(m_answer.status >= 200 && m_answer.status <= 599, "status " + std::to_string(m_answer.status));
        require(m_answer.status >= 300 || !signature.empty(), "a success without signature");
        const auto echoed = headerIn(m_answer.head, "X-Heatherridge-Request-Id");
        require(echoed.empty() || echoed == m_request.id, "an answer to request " + echoed);
        require(m_request.plan.method != "HEAD" || m_answer.body.empty(), "a body after a HEAD request");
        if (isStream() && m_answer.status == 200) {
            checkStream(signature);
        } else if (!signature.empty()) {
            checkTargetAnswer(signature);
        }
    }

    /** An answer of a target is passed on whole, with its status and signature. */
    void checkTargetAnswer(const std::string &signature)
    {
        const auto *attempt = attemptSigned(signature);
        require(attempt != nullptr, "the signature " + signature + " of no attempt at this request");
        if (attempt == nullptr) {
            return;
        }
        require(attempt->status == m_answer.status,
                "status " + std::to_string(m_answer.status) + " instead of " + std::to_string(attempt->status));
        if (!m_answer.isWhole) {
            require(attempt->body.starts_with(m_answer.body), "other bytes than those of the target");
            return;
        }
        // The end of a connection that a crash closed is the end of an answer without length too.
        const bool mayEndEarly = attempt->endsWithConnection && attempt->hasTargetCrashed;
        require(attempt->isWhole || mayEndEarly, "an answer that ended early at the target looks whole");
        require(attempt->body == m_answer.body || (mayEndEarly && attempt->body.starts_with(m_answer.body)),
                "a body that is not the whole body of the target");
    }

    void checkStream(const std::string &signature)
    {
        const auto *lastAttempt = attemptSigned(signature);
        require(lastAttempt != nullptr, "the signature " + signature + " of no attempt at this request");
        if (lastAttempt == nullptr || m_request.plan.method == "HEAD") {
            return;
        }
        const auto *firstAttempt = lastAttempt;
        auto next = m_request.plan.lastEventId.value_or(0) + 1;
        bool isFirst = true;
        for (std::size_t position = 0; position < m_answer.body.size();) {
            const auto end = m_answer.body.find("\n\n", position);
            if (end == std::string::npos) {
                require(!m_answer.isWhole, "the stream ends inside an event and looks whole");
                break;
            }
            const auto event = m_answer.body.substr(position, end + 2 - position);
            position = end + 2;
            const auto *attempt = attemptWith(event);
            require(attempt != nullptr, "an event that no target sent for this request: " + event.substr(0, 60));
            if (attempt == nullptr) {
                return;
            }
            require(attempt->number >= lastAttempt->number, "an event of an earlier attempt");
            require(!isFirst || attempt == firstAttempt, "headers of another attempt than the first event's");
            if (isFirst && !event.starts_with("id: ")) {
                // Without ids, only the target knows which events it leaves out before its first.
                next = eventNumber(event);
            }
            require(event.find(eventMark(next)) != std::string::npos,
                    "event " + std::to_string(next) + " is missing or out of order");
            lastAttempt = attempt;
            isFirst = false;
            ++next;
        }
        checkStreamEnd(next);
    }

    /** A stream that looks whole has ended whole at a target, at the event where that target ended it. */
    void checkStreamEnd(std::uint64_t next)
    {
        if (!m_answer.isWhole) {
            return;
        }
        const bool hasEnded = std::any_of(m_attempts.begin(), m_attempts.end(), [&](const ObservedAttempt *attempt) {
            if (attempt->endsWithConnection && attempt->hasTargetCrashed) {
                return true;
            }
            const bool isAtItsEnd = attempt->body.find(eventMark(next)) == std::string::npos;
            const bool hasLast = attempt->body.find(eventMark(next - 1)) != std::string::npos;
            return attempt->isWhole && attempt->status == 200 && isAtItsEnd && (attempt->body.empty() || hasLast);
        });
        require(hasEnded, "the stream ended early and looks whole");
    }

    /** Where nothing was wrong with the last attempt, the caller gets a whole answer of a target. */
    void checkEffort()
    {
        // An attempt without an answer may have left too little time for the next.
        const bool allAnswered =
            std::all_of(m_attempts.begin(), m_attempts.end(), [](const auto *a) { return a->status != 0; });
        if (!m_isUndisturbed || m_attempts.empty() || !allAnswered || !m_attempts.back()->isSound) {
            return;
        }
        // A begun stream cannot be continued with anything but a stream, and is broken off.
        if (isStream() && m_answer.status == 200 && m_attempts.back()->status != 200) {
            return;
        }
        require(m_answer.isWhole && !headerIn(m_answer.head, "X-Heatherridge-Response-Signature").empty(),
                "answered " + std::to_string(m_answer.status) + " though nothing was wrong with the last attempt");
    }

    const ObservedAttempt *attemptSigned(const std::string &signature) const
    {
        const auto found = std::find_if(m_attempts.begin(), m_attempts.end(), [&](const auto *attempt) {
            return !signature.empty() && attempt->signature == signature;
        });
        return found == m_attempts.end() ? nullptr : *found;
    }

    const ObservedAttempt *attemptWith(const std::string &event) const
    {
        const auto found = std::find_if(m_attempts.begin(), m_attempts.end(), [&](const auto *attempt) {
            return attempt->body.find(event) != std::string::npos;
        });
        return found == m_attempts.end() ? nullptr : *found;
    }

    const ObservedRequest &m_request;
    const RawCaller::Answer &m_answer;
    Attempts m_attempts;
    bool m_isUndisturbed;
    std::vector<std::string> m_broken;
};

/**
 * Returns whether all attempts before @p attempt at its target left connections that can carry it, or ones of which the
 * gateway could know before @p request was sent that they cannot.
 */
bool areCleanBefore(const ObservedRequest &request, const std::vector<ObservedAttempt> &attempts,
                    const ObservedAttempt &attempt)
{
    return std::ranges::all_of(attempts, [&](const ObservedAttempt &other) {
        return other.number >= attempt.number || other.target != attempt.target || other.leavesCleanConnection
            || (other.endedAt && *other.endedAt < request.sentAt);
    });
}

} // namespace

std::vector<std::string> brokenRules(const ObservedConversation &record)
{
    std::vector<std::string> broken;
    std::size_t known = 0;
    for (const auto &caller : record.callers) {
        for (const auto &request : caller) {
            Attempts attempts;
            // Whether an earlier attempt at the same target may have spoilt a connection.
            bool isUndisturbed = !record.isDisturbed;
            for (const auto &attempt : record.attempts) {
                if (attempt.id == request.id) {
                    attempts.push_back(&attempt);
                    isUndisturbed = isUndisturbed && !attempt.hasTargetCrashed;
                    isUndisturbed = isUndisturbed && areCleanBefore(request, record.attempts, attempt);
                }
            }
            known += attempts.size();
            auto found = RequestRules(request, std::move(attempts), isUndisturbed).check();
            broken.insert(broken.end(), found.begin(), found.end());
        }
    }
    if (record.heldBytes > 0) {
        broken.emplace_back(std::to_string(record.heldBytes) + " bytes held for callers that have left");
    }
    if (known != record.attempts.size()) {
        broken.emplace_back("a target got a request that no caller sent");
    }
    if (record.surplusBytes > 0) {
        broken.emplace_back(std::to_string(record.surplusBytes) + " bytes without a request");
    }
    return broken;
}

} // namespace Heatherridge
