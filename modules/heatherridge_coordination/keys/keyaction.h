#pragma once

#include "heatherridge_protocol/keymessage.h"

#include <variant>
#include <vector>

namespace Heatherridge
{

/**
 * One try of a request with a key, as one entry counts them. An entry never uses a number twice and sends them in
 * rising order to each gate, so that a gate needs one number an entry to know what it has seen.
 */
struct AttemptId
{
    GateId entry{}; ///< the run of the entry's process
    std::uint64_t number = 0; ///< from 1

    auto operator<=>(const AttemptId &) const = default;
    bool operator==(const AttemptId &) const = default;
};

/** A request with a key, as far as a gate needs it; the body stays with whoever runs the gate. */
struct KeyedCall
{
    AttemptId attempt{};
    Uuid7 key{};
    RequestFingerprint fingerprint{};
};

/** This process didn't run the try and won't; another may know the key, or may have run it before. */
struct KeyRedirect
{
    ProcessName holder{}; ///< who may know; empty when nobody is known
};

/** What a gate tells the entry about one try. */
using KeyReply = std::variant<StoredAnswer, Error, KeyRedirect>;

/** Append @p batch to the shard's stream and report with KeyGate::appendCompleted(). */
struct AppendBatch
{
    KeyBatch batch{};
};

/** Send the call to the service now, once, with the body of @p attempt, and report with KeyGate::callCompleted(). */
struct RunCall
{
    Uuid7 key{};
    AttemptId attempt{};
};

/** Answer the try. */
struct AnswerCall
{
    AttemptId attempt{};
    KeyReply reply{};
};

/** Send @p message to another gate of the shard. */
struct SendKeyMessage
{
    GateId to{};
    KeyMessage message{};
};

/** What a gate wants done, in this order. */
using KeyAction = std::variant<AppendBatch, RunCall, AnswerCall, SendKeyMessage>;
using KeyActions = std::vector<KeyAction>;

} // namespace Heatherridge
