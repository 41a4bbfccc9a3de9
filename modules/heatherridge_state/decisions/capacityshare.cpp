#include "heatherridge_state/decisions/capacityshare.h"

#include <algorithm>

namespace Heatherridge
{

double capacityDemand(const ServiceDemand &demand)
{
    constexpr double arrivalSeconds = std::chrono::duration<double>(ArrivalsCountedAsDemand).count();
    double sum = 0;
    for (const auto &[priority, rank] : demand.ranks) {
        sum += rank.waiting + rank.arrivalsPerSecond * arrivalSeconds;
    }
    return sum;
}

int unstatedGateways(int statedGateways, int knownGateways)
{
    return std::max(knownGateways - statedGateways, 0);
}

double capacityShare(const CapacityShareInput &input)
{
    if (input.others == nullptr) {
        return input.evenShare;
    }
    const double own = capacityDemand(input.own);
    const double stated = own + capacityDemand(*input.others);
    if (stated <= 0) {
        return input.evenShare;
    }
    const double average = stated / (input.statedGateways + 1);
    const double all = stated + average * unstatedGateways(input.statedGateways, input.knownGateways);
    return (1 - EvenCapacityPart) * own / all + EvenCapacityPart * input.evenShare;
}

} // namespace Heatherridge
