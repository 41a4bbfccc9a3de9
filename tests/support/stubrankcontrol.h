#pragma once

#include "heatherridge_coordination/groups/rankcontrol.h"

#include <string>
#include <vector>

namespace Heatherridge
{

/** RankControl whose calls never reply; a test overrides the calls that it needs. */
class StubRankControl : public RankControl
{
public:
    std::chrono::milliseconds maxStatusAge(const TargetEntry &) const override
    {
        return std::chrono::milliseconds(10);
    }

    void fetchStatus(const TargetEntry &, std::function<void(Result<RankStatus>)>) override
    {
    }

    void fetchCounts(const TargetEntry &, std::function<void(Result<RankCounts>)>) override
    {
    }

    void fetchExperts(const TargetEntry &, std::function<void(Result<RankExperts>)>) override
    {
    }

    void sendOrder(const TargetEntry &, const RankOrder &, std::uint64_t, std::function<void(OrderReply)>) override
    {
    }
};

/** Returns targets for @p count ranks, each named after its rank number. */
inline std::vector<TargetEntry> numberedRanks(int count)
{
    std::vector<TargetEntry> ranks;
    ranks.reserve(static_cast<std::size_t>(count));
    for (int rank = 0; rank < count; ++rank) {
        ranks.push_back({.id = TargetName(std::to_string(rank))});
    }
    return ranks;
}

} // namespace Heatherridge
