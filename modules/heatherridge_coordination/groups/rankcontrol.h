#pragma once

#include "heatherridge_state/base/result.h"
#include "heatherridge_state/groups/rankvalues.h"
#include "heatherridge_state/routing/targetentry.h"

#include <chrono>
#include <functional>

namespace Heatherridge
{

/** Sends requests and orders to the ranks of groups. One thread; answers arrive later on the same thread. */
class RankControl
{
public:
    virtual ~RankControl() = default;

    /** Returns how old a status of @p target may be when it arrives. */
    virtual std::chrono::milliseconds maxStatusAge(const TargetEntry &target) const = 0;

    virtual void fetchStatus(const TargetEntry &target, std::function<void(Result<RankStatus>)> done) = 0;
    virtual void fetchCounts(const TargetEntry &target, std::function<void(Result<RankCounts>)> done) = 0;
    virtual void fetchExperts(const TargetEntry &target, std::function<void(Result<RankExperts>)> done) = 0;
    /** Sends @p order, which is executed only in epoch @p epoch. */
    virtual void sendOrder(const TargetEntry &target, const RankOrder &order, std::uint64_t epoch,
                           std::function<void(OrderReply)> done) = 0;
};

} // namespace Heatherridge
