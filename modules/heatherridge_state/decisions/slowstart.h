#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Heatherridge
{

/** How long a group counts as just opened: by then the first streams have ended, and reports show the loads of all. */
constexpr std::chrono::milliseconds SlowStart{2'000};

/**
 * How many streams one entry may send an engine between two reports of its load, while its group has just opened.
 *
 * Load pattern: after a loss of power all entries hold a second's worth of waiting streams, and all see engines without
 * any load. Each sends all it has at once: 285 streams came to 16 engines with 12 places each within a second, the
 * first events took 0.9 to 1.7 s, and whatever came after them was late for three seconds more. So each entry takes its
 * share of the room that the engine's last report left, and at least one place, so that no entry is left out.
 *
 * @param places that may be filled: fewer for streams that are late already, so that new ones find room
 * @param reportedLoad requests of all entries at the engine, by its last report
 * @param share of this entry in all work, 0 to 1
 */
inline int startRoom(double places, int reportedLoad, double share)
{
    const double room = (places - reportedLoad) * share;
    return std::max(1, static_cast<int>(std::ceil(room)));
}

} // namespace Heatherridge
