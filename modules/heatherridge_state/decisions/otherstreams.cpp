#include "heatherridge_state/decisions/otherstreams.h"

#include <algorithm>

namespace Heatherridge
{

OtherStreams otherStreams(const OtherStreamsInput &input)
{
    if (input.engines == 0) {
        return {};
    }
    if (input.reportingEngines == 0) {
        return {.factor = 0,
                .perEngine = input.stated / static_cast<double>(input.engines),
                .growthWeight = 0,
                .isStated = true};
    }
    if (input.statedAge >= input.reportedAge) {
        return {};
    }
    const auto reporting = static_cast<double>(input.reportingEngines);
    const double stated = input.stated * std::min(1.0, reporting / static_cast<double>(input.engines));
    // The growth since the statements is the part of the growth since the statuses that falls into their age.
    OtherStreams others{.growthWeight = static_cast<double>(input.statedAge.count())
                            / static_cast<double>(input.reportedAge.count()),
                        .isStated = true};
    if (input.reported > 0) {
        others.factor = std::clamp(stated / input.reported, 1 / MaxStatedFactor, MaxStatedFactor);
    }
    if (input.isStarting) {
        others.perEngine = std::max(stated - input.reported * others.factor, 0.0) / reporting;
    }
    return others;
}

} // namespace Heatherridge
