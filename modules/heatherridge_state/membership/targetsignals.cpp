#include "heatherridge_state/membership/targetsignals.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

constexpr std::array<std::string_view, EligibilityReasonCount> ReasonNames{
    "healthy",     "not-listed",  "withdrawn", "planned-stop", "host-leaving",
    "own-refusal", "never-heard", "silent",    "returning",    "observer-fault"};

constexpr int MaxDoublings = 10;

std::chrono::milliseconds returnDelay(int silences, const MembershipOptions &options)
{
    const auto doublings = std::clamp(silences - 1, 0, MaxDoublings);
    return std::min(options.maxReturnDelay, options.initialReturnDelay * (1 << doublings));
}

/** Returns the reason if the target has been removed explicitly: by the operator, the platform or its own process. */
std::optional<EligibilityReason> explicitRemovalReason(const TargetSignals &signals, const MembershipOptions &options)
{
    if (!signals.isListed) {
        return EligibilityReason::NotListed;
    }
    if (signals.isWithdrawn) {
        return EligibilityReason::Withdrawn;
    }
    if (signals.hasPlannedStop) {
        return EligibilityReason::PlannedStop;
    }
    // The host list is delayed, and the state of a host may flap while it is being removed. A host that is listed as
    // live again after leaving therefore counts only once it has stayed live for hostReturnDelay.
    const bool stillLeaving = signals.liveAgainFor && *signals.liveAgainFor < options.hostReturnDelay;
    if (signals.host == HostState::Leaving || stillLeaving) {
        return EligibilityReason::HostLeaving;
    }
    if (signals.selfReport == SelfReport::Refusing) {
        return EligibilityReason::OwnRefusal;
    }
    return std::nullopt;
}

} // namespace

std::string_view toString(EligibilityReason reason)
{
    return ReasonNames.at(static_cast<std::size_t>(reason));
}

TargetEligibility determineEligibility(const TargetSignals &signals, bool observerFault,
                                       const MembershipOptions &options)
{
    if (const auto reason = explicitRemovalReason(signals, options)) {
        return {.eligibility = Eligibility::NoNewWork, .reason = *reason};
    }
    const bool neverHeard = !signals.silentFor;
    const bool silent =
        neverHeard ? signals.observedFor > options.silenceTimeout : *signals.silentFor > options.silenceTimeout;
    if (silent && observerFault) {
        return {.eligibility = Eligibility::Serving, .reason = EligibilityReason::ObserverFault};
    }
    if (silent || neverHeard) {
        return {.eligibility = Eligibility::Suspect,
                .reason = neverHeard ? EligibilityReason::NeverHeard : EligibilityReason::Silent};
    }
    if (signals.resumedFor && *signals.resumedFor < returnDelay(signals.recentSilences, options)) {
        return {.eligibility = Eligibility::Suspect, .reason = EligibilityReason::Returning};
    }
    return {.eligibility = Eligibility::Serving, .reason = EligibilityReason::Healthy};
}

} // namespace Heatherridge
