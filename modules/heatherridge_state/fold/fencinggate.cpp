#include "heatherridge_state/fold/fencinggate.h"

namespace Heatherridge
{

void FencingGate::updateHolder(const RoleHolder &holder)
{
    if (holder.number > m_holder.number) {
        m_holder = holder;
    }
}

void FencingGate::open()
{
    m_open = true;
}

bool FencingGate::isOpen() const
{
    return m_open;
}

const RoleHolder &FencingGate::holder() const
{
    return m_holder;
}

Outcome FencingGate::check(const ProcessName &process, Incarnation incarnation, FencingNumber number)
{
    if (!m_open) {
        ++m_counters.unconfirmed;
        return Error{.kind = ErrorKind::Unconfirmed, .ran = ExecutionStatus::No};
    }
    if (number < m_holder.number || number == FencingNumber{}) {
        ++m_counters.superseded;
        return Error{.kind = ErrorKind::FencedOff, .ran = ExecutionStatus::No};
    }
    // A number higher than all folded ones is not trusted: an invalid number would lock out the actual holder.
    if (number > m_holder.number) {
        ++m_counters.unknownClaim;
        return Error{.kind = ErrorKind::StaleOffset, .ran = ExecutionStatus::No};
    }
    if (process != m_holder.holder || incarnation != m_holder.incarnation) {
        ++m_counters.wrongHolder;
        return Error{.kind = ErrorKind::FencedOff, .ran = ExecutionStatus::No};
    }
    ++m_counters.accepted;
    return std::monostate();
}

const FencingCounters &FencingGate::counters() const
{
    return m_counters;
}

} // namespace Heatherridge
