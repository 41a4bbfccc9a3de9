#pragma once

#include "heatherridge_state/base/ids.h"

#include <chrono>
#include <cstdint>
#include <variant>
#include <vector>

namespace Heatherridge
{

/** Opaque hash of a service and one part of a prompt; equal at all gateways. */
enum class PromptPart : std::uint64_t {};

/** Returns the numeric value of @p part. */
constexpr std::uint64_t toNumber(PromptPart part)
{
    return static_cast<std::uint64_t>(part);
}

/** A part of a prompt that was at a target when it died. */
struct PromptPartInHand
{
    PromptPart part{};
    bool wasAnswered = false; ///< the reporting gateway remembers an answer to a request with this part

    bool operator==(const PromptPartInHand &) const = default;
};

/** A target died while it had one request that had not gone beyond the beginning of its answer. */
struct PromptPartsDeath
{
    Incarnation reporter{}; ///< gateway that had the request at the target
    /** Time of the death on the reporter's monotonic clock; comparable only with reports of the same reporter. */
    std::chrono::milliseconds reportedAt{};
    TargetName target{};
    std::vector<PromptPartInHand> parts{}; ///< of the request, in prompt order, without the last one
    std::uint32_t progress = 0; ///< whole events received in this attempt

    bool operator==(const PromptPartsDeath &) const = default;
};

/** Requests with these parts were answered; all earlier deaths under the parts are no fault of theirs. */
struct PromptPartsAnswered
{
    std::vector<PromptPart> parts{};

    bool operator==(const PromptPartsAnswered &) const = default;
};

/** Requests with this part must not be sent to targets. */
struct PromptPartBlocked
{
    PromptPart part{};
    std::uint32_t trials = 0; ///< claimed since it was blocked; see PromptPartTrial
    std::uint32_t failedTrials = 0; ///< of these, those under which a target died

    bool operator==(const PromptPartBlocked &) const = default;
};

/** Claim of a gateway to send one request with a blocked part; the first claim of a number in the log is valid. */
struct PromptPartTrial
{
    PromptPart part{};
    Incarnation gateway{};
    std::uint32_t number = 0; ///< counts the trials of the part from 1

    bool operator==(const PromptPartTrial &) const = default;
};

/** What gateways tell each other about prompt parts, in the order of the log. */
using PromptPartRecord = std::variant<PromptPartsDeath, PromptPartsAnswered, PromptPartBlocked, PromptPartTrial>;

} // namespace Heatherridge
