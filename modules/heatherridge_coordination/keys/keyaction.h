#pragma once

#include "heatherridge_protocol/keymessage.h"

#include <variant>
#include <vector>

namespace Heatherridge
{

/**
 * Identifies one attempt of a request with a key. An entry never reuses a number and sends its numbers to each gate in
 * ascending order, so that a gate detects duplicates by storing one number per entry.
 */
struct AttemptId
{
    GateId entry{}; ///< the run of the entry's process that sent the attempt
    std::uint64_t number = 0; ///< from 1

    auto operator<=>(const AttemptId &) const = default;
    bool operator==(const AttemptId &) const = default;
};

/** The parts of a request with a key that a gate needs. The owner of the gate keeps the body. */
struct KeyedCall
{
    AttemptId attempt{};
    Uuid7 key{};
    RequestFingerprint fingerprint{};
};

/** This process has not run the attempt and will not run it. Another process may know the key or may have run it. */
struct KeyRedirect
{
    ProcessName holder{}; ///< the process that may know the key; empty if unknown
};

/** A gate's reply to the entry for one attempt. */
using KeyReply = std::variant<StoredAnswer, Error, KeyRedirect>;

/** Action: append `batch` to the shard's stream and report the result with KeyGate::appendCompleted(). */
struct AppendBatch
{
    KeyBatch batch{};
};

/**
 * Action: send the call to the service now, exactly once, with the body of `attempt`, and report the result with
 * KeyGate::callCompleted().
 */
struct RunCall
{
    Uuid7 key{};
    AttemptId attempt{};
};

/** Action: send the reply to an attempt. */
struct AnswerCall
{
    AttemptId attempt{};
    KeyReply reply{};
};

/** Action: send `message` to another gate of the shard. */
struct SendKeyMessage
{
    GateId to{};
    KeyMessage message{};
};

/** An action that a gate requests. Actions must be performed in the order in which they are returned. */
using KeyAction = std::variant<AppendBatch, RunCall, AnswerCall, SendKeyMessage>;
using KeyActions = std::vector<KeyAction>;

} // namespace Heatherridge
