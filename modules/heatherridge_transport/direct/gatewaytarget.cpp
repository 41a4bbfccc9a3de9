#include "heatherridge_transport/direct/gatewaytarget.h"

namespace Heatherridge
{

double averageOtherLoad(const std::vector<GatewayTarget *> &targets, SteadyTime now)
{
    double sum = 0;
    double weight = 0;
    for (const auto *target : targets) {
        const double freshness = target->load.freshness(now);
        sum += target->load.otherRequests() * freshness;
        weight += freshness;
    }
    return weight > 0 ? sum / weight : 0;
}

EngineReports engineReports(const std::map<TargetName, GatewayTarget> &targets, const ServiceName &service,
                            double averageOthers, SteadyTime now)
{
    EngineReports reports;
    for (const auto &[id, target] : targets) {
        if (target.entry.service != service) {
            continue;
        }
        ++reports.engines;
        if (target.engine) {
            ++reports.reporting;
            reports.otherRequests += target.load.total(now, averageOthers) - target.load.ownRequests();
            reports.totalAge += now - target.engine->requestedAt;
        }
    }
    return reports;
}

} // namespace Heatherridge
