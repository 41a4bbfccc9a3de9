#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace Heatherridge
{

/** What the platform's host list says of a host. */
enum class HostState : std::uint8_t {
    Unknown, ///< no list has been read yet
    Absent,
    Live,
    Leaving, ///< also when the same list names the host as live too
};

/** What a target's own process has said about new work. */
enum class SelfReport : std::uint8_t {
    None, ///< nothing yet, or it was too long ago
    Accepting,
    Refusing, ///< it drains, or it knows itself to be withdrawn
};

/** All that one observer knows of one target. */
struct TargetSignals
{
    bool isListed = false; ///< by the inventory
    bool isWithdrawn = false; ///< by the inventory
    bool hasPlannedStop = false; ///< a planned stop names it
    HostState host = HostState::Unknown;
    std::optional<std::chrono::milliseconds> liveAgainFor{}; ///< since a leaving mark was taken back
    SelfReport selfReport = SelfReport::None;
    std::optional<std::chrono::milliseconds> silentFor{}; ///< since it was last heard; nothing when never
    std::chrono::milliseconds observedFor{}; ///< since this observer has tried to hear it
    std::optional<std::chrono::milliseconds> resumedFor{}; ///< since it was heard again after a silence
    int recentSilences = 0; ///< silences that ended within the last minutes
};

/** What a target may be given. */
enum class Eligibility : std::uint8_t {
    Serving, ///< new work
    Suspect, ///< new work only where no target is serving
    NoNewWork, ///< running work ends; nothing new
};

/** The signal that decided. */
enum class EligibilityReason : std::uint8_t {
    Healthy,
    NotListed,
    Withdrawn,
    PlannedStop,
    HostLeaving,
    OwnRefusal,
    NeverHeard,
    Silent,
    Returning, ///< heard again, but not yet for long enough
    ObserverFault, ///< too many are silent at once: the fault is assumed to be the observer's
};

constexpr std::size_t EligibilityReasonCount = 10;

/** The stable name of @p reason, for counters and operators. */
std::string_view toString(EligibilityReason reason);

/** A verdict and what it rests on. */
struct TargetEligibility
{
    Eligibility eligibility = Eligibility::NoNewWork;
    EligibilityReason reason = EligibilityReason::NotListed;

    bool operator==(const TargetEligibility &) const = default;
};

/** How fast signals count. */
struct MembershipOptions
{
    std::chrono::milliseconds silenceTimeout{3'000}; ///< three heartbeats
    std::chrono::milliseconds initialReturnDelay{1'000}; ///< heard for so long before it serves again
    std::chrono::milliseconds maxReturnDelay{30'000}; ///< the same after many silences; doubled each time
    std::chrono::milliseconds hostReturnDelay{10'000}; ///< live for so long after a leaving mark
    std::chrono::milliseconds flapWindow{300'000}; ///< silences older than this are forgotten
    std::size_t minTargetsForObserverFault = 4; ///< with fewer targets the rule says nothing
};

/**
 * Decides from the signals of one target.
 *
 * | signal            | adds                        | removes              | how fast                       |
 * | inventory         | yes, it alone               | yes                  | as soon as it is folded        |
 * | planned stop      | no                          | yes                  | as soon as it is folded        |
 * | leaving mark      | no                          | yes                  | with the list that carries it  |
 * | own refusal       | no                          | yes                  | with the refusal               |
 * | host list: live   | no (ends a leaving mark)    | no                   | after hostReturnDelay               |
 * | host list: absent | no                          | no: the list lags    | —                              |
 * | heartbeat         | no (ends a suspicion)       | no                   | after initialReturnDelay, doubled     |
 * | silence           | no                          | only behind others   | after `silence`                |
 *
 * @param observerFault whether so many targets are silent at once that the observer is taken to be at fault
 */
TargetEligibility determineEligibility(const TargetSignals &signals, bool observerFault,
                                       const MembershipOptions &options);

} // namespace Heatherridge
