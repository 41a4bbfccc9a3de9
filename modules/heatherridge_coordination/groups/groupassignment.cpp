#include "heatherridge_coordination/groups/groupassignment.h"

namespace Heatherridge
{

bool isAssignedTo(const WorkShare &share, const ZoneName &ownZone, const ServiceName &service,
                  const GroupToAssign &group)
{
    if (group.serviceRanks <= MaxRanksPerRebalancer) {
        return share.isMine(service.text());
    }
    const auto work = service.text() + "/" + group.name.text();
    return group.homeZone == ownZone ? share.isMineInZone(work) : group.isUnattended && share.isMine(work);
}

} // namespace Heatherridge
