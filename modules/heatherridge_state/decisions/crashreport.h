#pragma once

#include "heatherridge_state/base/ids.h"
#include "heatherridge_state/keys/requestfingerprint.h"

#include <chrono>
#include <cstdint>
#include <variant>

namespace Heatherridge
{

/** Observation by an entry about a request that may crash the targets that run it. */
struct CrashReport
{
    enum class Kind {
        TargetDied, ///< a target died while it had the request
        Answered, ///< a target ran it to an answer, or further than targets came that died
    };

    Kind kind = Kind::TargetDied;
    RequestFingerprint request{};
    TargetName target{}; ///< that died; null for an answer
    Incarnation reporter{}; ///< entry that observed it; null in reports of earlier releases
    /** Time of the death on the reporter's monotonic clock; comparable only with reports of the same reporter. */
    std::chrono::milliseconds reportedAt{};
    std::uint32_t progress = 0; ///< whole events of the answer before a death, in that attempt
    /** The request was sent to the target after the entry had learned of an earlier death under it. */
    bool wasSuspect = false;

    bool operator==(const CrashReport &) const = default;
};

/** The request must not be sent to targets. */
struct RequestBlocked
{
    RequestFingerprint request{};
    std::uint32_t trials = 0; ///< claimed since it was blocked; see RequestTrial
    std::uint32_t failedTrials = 0; ///< of these, those under which a target died

    bool operator==(const RequestBlocked &) const = default;
};

/** Claim of an entry to send a blocked request once; the first claim of a number in the log is valid. */
struct RequestTrial
{
    RequestFingerprint request{};
    Incarnation gateway{};
    std::uint32_t number = 0; ///< counts the trials of the request from 1

    bool operator==(const RequestTrial &) const = default;
};

/** What entries tell each other about requests that crash targets, in the order of the log. */
using RequestCrashRecord = std::variant<CrashReport, RequestBlocked, RequestTrial>;

} // namespace Heatherridge
