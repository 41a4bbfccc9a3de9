#pragma once

#include "heatherridge_state/base/ids.h"

#include <chrono>
#include <cstdint>

namespace Heatherridge
{

/** What an entry knows of one target when it places a request. Loads are in units of cost (tokens). */
struct TargetView
{
    std::uint64_t key = 0; ///< hash of the target's name, the same in all entries; see targetKey()
    std::chrono::microseconds zoneDelay{}; ///< one way, from this entry
    double reportedLoad = 0; ///< load running and waiting at the target, from all entries, according to its last report
    std::chrono::microseconds reportAge{}; ///< age of that report; a large value when there is none
    double ownAtReport = 0; ///< this entry's part of reportedLoad
    double reportedCapacity = 0; ///< load at which the target is full, according to its last report; 0 when unknown
    double reportedPressure = 1; ///< cost offered to the target over cost it starts; above 1 it refuses the rest
    double pendingPromptTokens =
        0; ///< prompt tokens that the target has started on and not yet computed, according to its report
    double ownLoad = 0; ///< load of this entry in flight there now
    std::uint32_t ownInFlight = 0; ///< number of requests of this entry in flight there now
    std::uint32_t prefixTokens = 0; ///< tokens of the prompt that its cache probably holds
    double slowness = 1; ///< its time per unit of cost over that of its peers: above 1 behind a straggler rank
    double warmth = 1; ///< 0 to 1: fraction of its normal share during slow start
    bool usable = true; ///< serves the model, accepts work, is not ejected and was not tried before by this request
    bool awaitsProbe = false; ///< was ejected, and one request is to show whether it has recovered
};

/** Returns the hash key of @p target. */
std::uint64_t targetKey(const TargetName &target);

/** Returns the rendezvous hash of (@p key, @p item), on which all processes agree. */
std::uint64_t rendezvousHash(std::uint64_t key, std::uint64_t item);

/** Properties of a request that determine its placement. */
struct RequestTraits
{
    double cost = 1; ///< see requestCost()
    double promptTokens = 0; ///< a cached prefix can save a part of them
    std::uint64_t affinityKey = 0; ///< hash of the beginning of the prompt; 0 for none
    std::chrono::duration<double, std::micro> timePerUnit{500}; ///< typical time that one unit of load ahead adds
    bool mayProbe = false; ///< it is idempotent, so it may be used to probe an ejected target
};

} // namespace Heatherridge
