#include "heatherridge_transport/direct/placementrefusal.h"

#include <cassert>
#include <utility>

namespace Heatherridge
{

namespace
{

using std::chrono::milliseconds;

/** Retry delay for callers refused because there is no target: entries learn of a new target within a second. */
constexpr milliseconds NoTargetRetryAfter{500};
/** Retry delay for callers refused because all engines are full: a third of an engine's usual answer time. */
constexpr milliseconds EnginesFullRetryAfter{500};
/** Retry delay for callers after the targets refused: a slot of a plain service becomes free within this time. */
constexpr milliseconds TargetsFullRetryAfter{300};
/** Retry delay for callers refused while a part of their prompt is held: a trial is claimed, sent and answered. */
constexpr milliseconds PartHeldRetryAfter{1'000};
/** Retry delay for callers refused until an operator acts: a zone is restored within seconds at the soonest. */
constexpr milliseconds OperatorRetryAfter{2'000};

} // namespace

bool isLasting(NoChoiceReason reason)
{
    return reason == NoChoiceReason::ZonesDrained || reason == NoChoiceReason::OutsideRegions;
}

Error refusalFor(NoChoiceReason reason, const ServiceName &service, std::optional<milliseconds> heldFor)
{
    switch (reason) {
    case NoChoiceReason::NoTarget:
        return {
            .kind = ErrorKind::NoTarget, .detail = "no target for " + service.text(), .retryAfter = NoTargetRetryAfter};
    case NoChoiceReason::AllFull:
        return {.kind = ErrorKind::Overloaded, .detail = "all targets are full", .retryAfter = EnginesFullRetryAfter};
    case NoChoiceReason::AllHeldBack:
        return {.kind = ErrorKind::Overloaded,
                .detail = "all targets are at their limit, in back-off or warming up",
                .retryAfter = heldFor.value_or(EnginesFullRetryAfter)};
    case NoChoiceReason::ZonesDrained:
        return {.kind = ErrorKind::ZoneDrained,
                .detail = "all zones of " + service.text() + " are drained",
                .retryAfter = OperatorRetryAfter};
    case NoChoiceReason::PartHeld:
        return {.kind = ErrorKind::Overloaded,
                .detail = "a part of the prompt is being tried",
                .retryAfter = PartHeldRetryAfter};
    case NoChoiceReason::OutsideRegions:
        return {.kind = ErrorKind::OutsideRegions,
                .detail = "no target of " + service.text() + " in an allowed region",
                .retryAfter = OperatorRetryAfter};
    }
    assert(false);
    return {.kind = ErrorKind::Internal};
}

std::string outcomeText(const Error &error)
{
    return std::string(errorDescriptorFor(error.kind).name) + ": " + error.detail;
}

Error refusalByTargets(bool mayHaveRun, std::string detail)
{
    return {.kind = mayHaveRun ? ErrorKind::BackendFailed : ErrorKind::Overloaded,
            .detail = std::move(detail),
            .retryAfter = TargetsFullRetryAfter};
}

} // namespace Heatherridge
