#pragma once

#include "heatherridge_state/base/ids.h"

#include <chrono>
#include <cstdint>

namespace Heatherridge
{

/** What an entry knows of one target when it places a request. Loads are in units of cost (tokens). */
struct TargetView
{
    std::uint64_t key = 0; ///< hash of the target's name, the same in all entries: targetKey()
    std::chrono::microseconds zoneDelay{}; ///< one way, from this entry
    double reportedLoad = 0; ///< what the target's last report says runs and waits there, from all entries
    std::chrono::microseconds reportAge{}; ///< how old that report is; a large value when there is none
    double ownAtReport = 0; ///< this entry's part of it
    double reportedCapacity = 0; ///< load at which its last report calls it full; 0 when unknown
    double reportedPressure = 1; ///< cost offered to it over cost it starts; above 1 it refuses the rest
    double pendingPromptTokens =
        0; ///< prompt tokens that the target, by its report, has started on and not yet computed
    double ownLoad = 0; ///< what this entry has in flight there now
    std::uint32_t ownInFlight = 0; ///< the same as a number of requests
    std::uint32_t prefixTokens = 0; ///< how many tokens of the prompt its cache is thought to hold
    double slowness = 1; ///< its time a unit of cost over that of its peers: above 1 behind a straggler rank
    double warmth = 1; ///< 0 to 1: part of its share in slow start
    bool usable = true; ///< serves the model, takes work, not ejected, not tried before by this request
    bool awaitsProbe = false; ///< was ejected and awaits one request that shows whether it has recovered
};

/** The key of @p target. */
std::uint64_t targetKey(const TargetName &target);

/** A place for (@p key, @p item) on which all processes agree; for rendezvous hashing. */
std::uint64_t rendezvousHash(std::uint64_t key, std::uint64_t item);

/** What of a request matters for its placement. */
struct RequestTraits
{
    double cost = 1; ///< as requestCost() says
    double promptTokens = 0; ///< of which a cached prefix can save a part
    std::uint64_t affinityKey = 0; ///< hash of the prompt's beginning; 0 for none
    std::chrono::duration<double, std::micro> timePerUnit{500}; ///< typical time that one unit of load ahead adds
    bool mayProbe = false; ///< it is idempotent, so that it may show whether an ejected target has recovered
};

} // namespace Heatherridge
