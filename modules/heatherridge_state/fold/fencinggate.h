#pragma once

#include "heatherridge_state/base/result.h"
#include "heatherridge_state/fold/configimage.h"

namespace Heatherridge
{

/** Number of orders that a gate has accepted and refused, by reason. */
struct FencingCounters
{
    std::uint64_t accepted = 0;
    std::uint64_t unconfirmed = 0; ///< the gate is still closed and doesn't know the current number
    std::uint64_t superseded = 0; ///< a newer holder has claimed the role
    std::uint64_t unknownClaim = 0; ///< the claim with this number has not been folded here yet
    std::uint64_t wrongHolder = 0; ///< the current number, but from a process or run that didn't claim it
};

/**
 * Accepts orders from the current holder of a role and refuses those of all earlier holders.
 *
 * Guards against this failure: a holder is paused, another process claims its role, and the paused holder resumes and
 * still believes that it holds the role. No lease or clock can prevent its next order, so the receiver refuses it by
 * its fencing number. A restarted gate knows no number; if it trusted the first one that it receives, a paused holder
 * could be accepted. It therefore refuses all orders until it has folded the stream up to an offset that the log had
 * reached after the restart, since these records contain every number that its previous run had accepted. Value type.
 * Must be used from one thread.
 */
class FencingGate
{
public:
    /** Constructs a closed gate, which refuses every order as unconfirmed. */
    FencingGate() = default;

    /** Sets the holder read from the folded stream. A claim that is older than the latest known one has no effect. */
    void updateHolder(const RoleHolder &holder);

    /** Opens the gate; called once the stream is folded up to an offset that the log reached after this process
     * started. */
    void open();

    /** Returns whether the gate is open. */
    bool isOpen() const;

    /** Returns the latest known claim; its number is 0 if there is none. */
    const RoleHolder &holder() const;

    /** Accepts an order, or refuses it as Unconfirmed, FencedOff, or StaleOffset if its claim is not folded yet. */
    Outcome check(const ProcessName &process, Incarnation incarnation, FencingNumber number);

    /** Returns the counters since the start of the process. */
    const FencingCounters &counters() const;

private:
    RoleHolder m_holder;
    bool m_open = false;
    FencingCounters m_counters;
};

} // namespace Heatherridge
