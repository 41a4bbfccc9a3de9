#pragma once

#include "heatherridge_state/base/clock.h"

#include <chrono>
#include <optional>

namespace Heatherridge
{

/**
 * How many requests one target has, as one of several entries can know it.
 *
 * Load pattern: several entries feed the same targets, and a target's own word comes only with its answers. Own
 * requests alone leave out what the others send; the target's word alone is old, and all entries would run to the same
 * seemingly idle target. So the others' part is taken from the last answer and forgotten as it ages, and the own part
 * is counted. One thread.
 */
class LoadEstimate
{
public:
    /** The others' part halves in this time without news: about half of a stream's length. */
    static constexpr std::chrono::milliseconds HalfLife{700};

    /** This entry sends the target a request. */
    void sent();

    /** One of the requests has ended. */
    void ended();

    /** The target says that it has @p total requests, running and waiting. */
    void reported(int total, SteadyTime now);

    /** Own requests that have not ended. */
    int own() const;

    /** Requests of all entries, as far as known. */
    double total(SteadyTime now) const;

private:
    int m_own = 0;
    double m_others = 0;
    std::optional<SteadyTime> m_reportedAt;
};

} // namespace Heatherridge
