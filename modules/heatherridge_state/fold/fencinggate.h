#pragma once

#include "heatherridge_state/base/result.h"
#include "heatherridge_state/fold/configimage.h"

namespace Heatherridge
{

/** Orders that a gate has let pass and refused, by reason. */
struct FencingCounters
{
    std::uint64_t accepted = 0;
    std::uint64_t unconfirmed = 0; ///< the gate does not know yet which numbers exist
    std::uint64_t superseded = 0; ///< a later holder has claimed the role
    std::uint64_t unknownClaim = 0; ///< a number whose claim has not been folded here
    std::uint64_t wrongHolder = 0; ///< the right number from a process or run that did not claim it
};

/**
 * Lets orders of one role's present holder pass, and none of any earlier one.
 *
 * The failure: a holder is paused, its role is claimed by another, and it wakes up believing that it still holds it.
 * No lease or clock can prevent its next order, so the receiving side refuses it by its number. A gate that restarts
 * has forgotten every number; if it took the first one it hears, a paused holder could win. So it takes none until it
 * has folded the stream up to a point that the log held after the restart: every number that its earlier run had
 * accepted stands in those records. Value type. One thread.
 */
class FencingGate
{
public:
    /** A closed gate: every order is refused as unconfirmed. */
    FencingGate() = default;

    /** The folded stream says that @p holder holds the role; an older claim than the newest known has no effect. */
    void updateHolder(const RoleHolder &holder);

    /** The stream has been folded up to a point that the log held after this process started. */
    void open();

    /** Whether orders can pass at all. */
    bool isOpen() const;

    /** The newest claim known; number 0 when there is none. */
    const RoleHolder &holder() const;

    /** Lets an order pass or refuses it: Unconfirmed, FencedOff, or StaleOffset when its claim is still to come. */
    Outcome check(const ProcessName &process, Incarnation incarnation, FencingNumber number);

    /** Counters since the start. */
    const FencingCounters &counters() const;

private:
    RoleHolder m_holder;
    bool m_open = false;
    FencingCounters m_counters;
};

} // namespace Heatherridge
