#include "heatherridge_transport/direct/gatewaytargets.h"

#include <algorithm>

namespace Heatherridge
{

void GatewayTargets::recordAnswer(GatewayTarget &target, SteadyTime now) const
{
    target.lastReceivedAt = now;
    target.admission.recordAnswer(m_warmUps.duration(target.entry.service), now);
}

void GatewayTargets::recordUnreachable(const TargetName &id)
{
    if (auto *target = find(id)) {
        target->admission.expectRestart();
        m_mayExpectRestarts = true;
    }
}

std::vector<TargetName> GatewayTargets::recordHeartbeats(const std::vector<TargetHeartbeat> &heartbeats)
{
    std::vector<TargetName> alive;
    for (const auto &heartbeat : heartbeats) {
        auto *target = find(heartbeat.id);
        if (target != nullptr && target->entry.startedAt == heartbeat.startedAt
            && target->admission.recordHeartbeat(heartbeat.revision)) {
            alive.push_back(heartbeat.id);
        }
    }
    m_mayExpectRestarts = std::any_of(m_targets.begin(), m_targets.end(),
                                      [](const auto &entry) { return entry.second.admission.awaitsRestart(); });
    return alive;
}

bool GatewayTargets::mayExpectRestarts() const
{
    return m_mayExpectRestarts;
}

} // namespace Heatherridge
