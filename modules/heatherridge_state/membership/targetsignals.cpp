#include "heatherridge_state/membership/targetsignals.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

constexpr std::array<std::string_view, StandingReasonCount> ReasonNames{
    "healthy",     "not-listed",  "withdrawn", "planned-stop", "host-leaving",
    "own-refusal", "never-heard", "silent",    "returning",    "observer-fault"};

constexpr int MostDoublings = 10;

std::chrono::milliseconds returnAfter(int silences, const MembershipOptions &options)
{
    const auto doublings = std::clamp(silences - 1, 0, MostDoublings);
    return std::min(options.longestReturn, options.firstReturn * (1 << doublings));
}

/** The signals by which somebody who has the say takes a target away. */
std::optional<StandingReason> explicitRemoval(const TargetSignals &signals, const MembershipOptions &options)
{
    if (!signals.isListed) {
        return StandingReason::NotListed;
    }
    if (signals.isWithdrawn) {
        return StandingReason::Withdrawn;
    }
    if (signals.isStopping) {
        return StandingReason::PlannedStop;
    }
    // The list lags and may go to and fro while hosts are being taken away, so a live mark after a leaving one has
    // to last before it counts.
    const bool stillLeaving = signals.liveAgainFor && *signals.liveAgainFor < options.hostReturn;
    if (signals.host == HostMark::Leaving || stillLeaving) {
        return StandingReason::HostLeaving;
    }
    if (signals.ownWord == OwnWord::Refuses) {
        return StandingReason::OwnRefusal;
    }
    return std::nullopt;
}

} // namespace

std::string_view toString(StandingReason reason)
{
    return ReasonNames.at(static_cast<std::size_t>(reason));
}

TargetStanding standingFrom(const TargetSignals &signals, bool observerFault, const MembershipOptions &options)
{
    if (const auto reason = explicitRemoval(signals, options)) {
        return {.standing = Standing::NoNewWork, .reason = *reason};
    }
    const bool neverHeard = !signals.silentFor;
    const bool silent = neverHeard ? signals.watchedFor > options.silence : *signals.silentFor > options.silence;
    if (silent && observerFault) {
        return {.standing = Standing::Serving, .reason = StandingReason::ObserverFault};
    }
    if (silent || neverHeard) {
        return {.standing = Standing::Suspect,
                .reason = neverHeard ? StandingReason::NeverHeard : StandingReason::Silent};
    }
    if (signals.heardAgainFor && *signals.heardAgainFor < returnAfter(signals.recentSilences, options)) {
        return {.standing = Standing::Suspect, .reason = StandingReason::Returning};
    }
    return {.standing = Standing::Serving, .reason = StandingReason::Healthy};
}

} // namespace Heatherridge
