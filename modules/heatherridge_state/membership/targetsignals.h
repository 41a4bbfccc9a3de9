#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace Heatherridge
{

/** State of a host in the platform's host list. */
enum class HostState : std::uint8_t {
    Unknown, ///< no host list has been read yet
    Absent,
    Live,
    Leaving, ///< also if the same list contains the host as live, too
};

/** Whether a target's own process reports to accept new work. */
enum class SelfReport : std::uint8_t {
    None, ///< no report yet, or the last one is too old
    Accepting,
    Refusing, ///< it is draining or knows that it has been withdrawn
};

/** All signals that one observer has about one target. */
struct TargetSignals
{
    bool isListed = false; ///< in the inventory
    bool isWithdrawn = false; ///< in the inventory
    bool hasPlannedStop = false; ///< a planned stop exists for it
    HostState host = HostState::Unknown;
    std::optional<std::chrono::milliseconds> liveAgainFor{}; ///< since its host was no longer marked as leaving
    SelfReport selfReport = SelfReport::None;
    std::optional<std::chrono::milliseconds> silentFor{}; ///< since its last heartbeat; not set if there was none
    std::chrono::milliseconds observedFor{}; ///< since this observer started to expect heartbeats
    std::optional<std::chrono::milliseconds> resumedFor{}; ///< since the first heartbeat after a silence
    int recentSilences = 0; ///< silences that ended within flapWindow
};

/** Which work a target may receive. */
enum class Eligibility : std::uint8_t {
    Serving, ///< receives new work
    Suspect, ///< receives new work only if no target is Serving
    NoNewWork, ///< receives no new work; running work completes
};

/** The signal that decided the eligibility. */
enum class EligibilityReason : std::uint8_t {
    Healthy,
    NotListed,
    Withdrawn,
    PlannedStop,
    HostLeaving,
    OwnRefusal,
    NeverHeard,
    Silent,
    Returning, ///< sends heartbeats again, but not yet for long enough
    ObserverFault, ///< too many are silent at once; the fault is assumed to be the observer's
};

constexpr std::size_t EligibilityReasonCount = 10;

/** Returns the stable name of @p reason, for counters and operators. */
std::string_view toString(EligibilityReason reason);

/** The eligibility of a target and the reason for it. */
struct TargetEligibility
{
    Eligibility eligibility = Eligibility::NoNewWork;
    EligibilityReason reason = EligibilityReason::NotListed;

    bool operator==(const TargetEligibility &) const = default;
};

/** Delays and thresholds for evaluating signals. */
struct MembershipOptions
{
    std::chrono::milliseconds silenceTimeout{3'000}; ///< three heartbeats
    std::chrono::milliseconds initialReturnDelay{1'000}; ///< heartbeats must last this long after a silence
    std::chrono::milliseconds maxReturnDelay{30'000}; ///< upper bound; the delay doubles with each recent silence
    std::chrono::milliseconds hostReturnDelay{10'000}; ///< a host must stay live this long after leaving
    std::chrono::milliseconds flapWindow{300'000}; ///< silences that ended longer ago are ignored
    std::size_t minTargetsForObserverFault = 4; ///< with fewer targets, no observer fault is assumed
};

/**
 * Determines the eligibility of one target from its signals.
 *
 * | signal             | adds a target              | removes a target      | takes effect                       |
 * |--------------------|----------------------------|-----------------------|------------------------------------|
 * | inventory          | yes, the only one          | yes                   | as soon as it is folded            |
 * | planned stop       | no                         | yes                   | as soon as it is folded            |
 * | host list: leaving | no                         | yes                   | with the list that contains it     |
 * | own refusal        | no                         | yes                   | with the refusal                   |
 * | host list: live    | no (ends "leaving")        | no                    | after hostReturnDelay              |
 * | host list: absent  | no                         | no: the list lags     | —                                  |
 * | heartbeat          | no (ends a suspicion)      | no                    | after initialReturnDelay, doubled  |
 * | silence            | no                         | no: becomes Suspect   | after silenceTimeout               |
 *
 * @param observerFault whether so many targets are silent at once that the fault is assumed to be the observer's
 */
TargetEligibility determineEligibility(const TargetSignals &signals, bool observerFault,
                                       const MembershipOptions &options);

} // namespace Heatherridge
