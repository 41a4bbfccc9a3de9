#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/base/ids.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <vector>

namespace Heatherridge
{

/** A death of a target, as reported by one or more gateways. */
struct TargetDeath
{
    SteadyTime time{}; ///< of the first report here
    std::map<Incarnation, std::chrono::milliseconds> reportedAt{}; ///< by reporter, on its clock
};

using TargetDeathPointer = std::shared_ptr<TargetDeath>;
using TargetDeathList = std::vector<TargetDeathPointer>; ///< oldest first

/**
 * The deaths of targets, told apart by the reports of several gateways.
 *
 * Load pattern: each gateway that had a request at a dead target reports the death, several times if it had several
 * requests there. The reports arrive in any order and late, some of them twice, and the gateways' clocks differ.
 * Single-threaded; time comes from the caller.
 */
class TargetDeaths
{
public:
    struct Options
    {
        /** Reports of one gateway on one target that are closer than this, on its clock, are of one death. */
        std::chrono::milliseconds sameDeathGap{2'000};
        /** Reports of several gateways on one target may arrive this far apart and be of one death. */
        std::chrono::milliseconds sameDeathArrival{5'000};
        std::chrono::milliseconds retention{300'000};
        std::size_t maxDeaths = 10'000; ///< beyond it the oldest are forgotten
    };

    /** One report of a death. */
    struct Report
    {
        TargetName target{};
        Incarnation reporter{};
        std::chrono::milliseconds reportedAt{}; ///< on the reporter's clock
    };

    /** @param self this run of the gateway, whose own reports are never late */
    TargetDeaths(Incarnation self, Options options);

    /** Returns the death that @p report is of, which may be known already. */
    TargetDeathPointer record(const Report &report, SteadyTime now);

    /** Returns the number of deaths of all targets from @p from to @p to. */
    std::size_t countBetween(SteadyTime from, SteadyTime to) const;

    /** Forgets deaths before @p oldest. */
    void evict(SteadyTime oldest);

private:
    /** Returns the time before which so many deaths lie that the others are below the limit. */
    SteadyTime timeOfSurplus() const;

    Incarnation m_self;
    Options m_options;
    std::map<TargetName, TargetDeathList> m_deaths;
    std::size_t m_count = 0;
};

/** Returns how many of @p deaths lie from @p from to @p to. */
std::size_t countBetween(const TargetDeathList &deaths, SteadyTime from, SteadyTime to);

} // namespace Heatherridge
