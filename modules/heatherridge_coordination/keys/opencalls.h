#pragma once

#include "heatherridge_coordination/keys/keyaction.h"

#include <map>
#include <optional>
#include <vector>

namespace Heatherridge
{

/** Progress of a call with a key. */
enum class CallState {
    Announced, ///< its intent is queued or in flight
    Running, ///< sent to the service
};

/** A call with a key at a gate, and the attempts that wait for its answer. */
struct OpenCall
{
    RequestFingerprint fingerprint{};
    CallState state = CallState::Announced;
    std::vector<AttemptId> waiters{};
};

/** An attempt that waits until this gate may run keys of the shard. */
struct ParkedCall
{
    KeyedCall call{};
    WallTime since{};
};

/** The unanswered calls of one gate, by key and by attempt. Makes no decisions. Not thread-safe. */
class OpenCalls
{
public:
    using Calls = std::map<Uuid7, OpenCall>;

    /** Opens a call that waits for its intent, with @p keyedCall as its first attempt. */
    OpenCall &open(const KeyedCall &keyedCall);

    /** Adds the attempt of @p keyedCall to the open call of the same key. */
    void join(const KeyedCall &keyedCall);

    /** Returns the open call of @p key, or nullptr. */
    OpenCall *find(const Uuid7 &key);

    /** Removes and returns the call of @p key, which must be open, with its attempts. */
    OpenCall close(const Uuid7 &key);

    /** Removes @p attempt from its call. @returns the call, or nullptr if the attempt waits for none */
    const OpenCall *removeWaiter(const AttemptId &attempt);

    /** Parks @p waiting, which keeps the start of its wait. */
    void park(const ParkedCall &waiting);

    /** Removes @p attempt from the parked attempts. Returns false if it is not parked. */
    bool unpark(const AttemptId &attempt);

    /** Removes and returns all parked attempts. */
    std::vector<ParkedCall> takeParked();

    /** Returns whether @p attempt waits for the answer to an open call. */
    bool hasWaiter(const AttemptId &attempt) const;

    /** Returns all open calls. */
    Calls &calls();

    /** Returns the number of open calls and parked attempts. */
    std::size_t size() const;

private:
    Calls m_calls;
    std::map<AttemptId, Uuid7> m_keyOfWaiter;
    std::vector<ParkedCall> m_parked;
};

} // namespace Heatherridge
