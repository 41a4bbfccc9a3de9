#include "heatherridge_state/decisions/dutyeligibility.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

/** Unknown sizes count as equal: work done twice is better than work done by nobody. */
bool isLargeBySize(const DutyInput &input)
{
    return !input.isKnown || input.ownSize <= 0
        || input.ownSize >= input.largestOther * DutyEligibility::MinDutySizeRatio;
}

} // namespace

DutyEligibility::DutyEligibility(bool exchangesDemand)
    : m_exchangesDemand(exchangesDemand)
{
}

Duties DutyEligibility::update(const DutyInput &input, SteadyTime now)
{
    if (!m_exchangesDemand) {
        return {.byAll = true};
    }
    if (isWaiting(input, now)) {
        return {};
    }
    updateMode(input.isShared, now);
    const bool isHandingOver = m_handoverUntil && now < *m_handoverUntil;
    if (!m_isShared) {
        return {.byAll = true, .byLarge = m_isLarge && isHandingOver};
    }
    updateSize(input, now);
    return {.byAll = isHandingOver, .byAllIfUnattended = !m_isLarge, .byLarge = m_isLarge};
}

bool DutyEligibility::isWaiting(const DutyInput &input, SteadyTime now)
{
    if (m_hasWaited) {
        return false;
    }
    m_startedAt = m_startedAt.value_or(now);
    m_hasWaited = input.isKnown || now - *m_startedAt >= StartWait;
    // A gateway that starts in a deployment where the mode is `On` takes over from no earlier division.
    m_isShared = m_hasWaited && input.isShared;
    return !m_hasWaited;
}

void DutyEligibility::updateMode(bool isShared, SteadyTime now)
{
    if (isShared == m_isShared) {
        return;
    }
    m_isShared = isShared;
    m_handoverUntil = now + HandoverTime;
    if (isShared) {
        m_isLarge = true; // until the sizes are compared
        m_largeSince.reset();
    }
}

void DutyEligibility::updateSize(const DutyInput &input, SteadyTime now)
{
    if (!isLargeBySize(input)) {
        m_isLarge = false;
        m_largeSince.reset();
    } else if (!m_isLarge) {
        m_largeSince = m_largeSince.value_or(now);
        m_isLarge = now - *m_largeSince >= ChangeBackDelay;
    }
}

} // namespace Heatherridge
