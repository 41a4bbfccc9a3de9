#pragma once

#include "heatherridge_coordination/keys/keyaction.h"

#include <map>
#include <optional>
#include <vector>

namespace Heatherridge
{

/** How far a call with a key has come. */
enum class CallState {
    Announced, ///< its intent waits or is on its way
    Running, ///< the service has it
};

/** One call with a key at a gate, and the tries that wait for its answer. */
struct OpenCall
{
    RequestFingerprint fingerprint{};
    CallState state = CallState::Announced;
    std::vector<AttemptId> waiters{};
};

/** A try that waits until this gate holds the shard. */
struct ParkedCall
{
    KeyedCall call{};
    WallTime since{};
};

/** The calls of one gate that have no answer yet, by key and by try. No decisions; one thread. */
class OpenCalls
{
public:
    using Calls = std::map<Uuid7, OpenCall>;

    /** Opens a call that waits for its intent, with @p keyedCall as its first try. */
    OpenCall &open(const KeyedCall &keyedCall);

    /** Adds @p keyedCall to a call that is open already. */
    void join(const KeyedCall &keyedCall);

    /** The call of @p key, or nullptr. */
    OpenCall *find(const Uuid7 &key);

    /** Takes the call of @p key out, which must be there, with its tries. */
    OpenCall close(const Uuid7 &key);

    /** Takes try @p attempt away from its call. @returns the call, or nullptr when it waits for none */
    const OpenCall *removeWaiter(const AttemptId &attempt);

    /** Parks @p keyedCall at @p now. */
    void park(const KeyedCall &keyedCall, WallTime now);

    /** Takes try @p attempt out of the parked ones; false when it is none. */
    bool unpark(const AttemptId &attempt);

    /** Takes out all parked tries. */
    std::vector<ParkedCall> takeParked();

    /** Whether @p attempt waits for an answer. */
    bool hasWaiter(const AttemptId &attempt) const;

    /** All open calls. */
    Calls &calls();

    /** Open calls and parked tries. */
    std::size_t size() const;

private:
    Calls m_calls;
    std::map<AttemptId, Uuid7> m_keyOfWaiter;
    std::vector<ParkedCall> m_parked;
};

} // namespace Heatherridge
