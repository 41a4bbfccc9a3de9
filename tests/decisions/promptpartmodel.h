#pragma once

#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/decisions/promptpartsuspects.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Heatherridge
{

/** A period from @p from to before @p to, in time after the start of the model. */
struct ModelPeriod
{
    std::chrono::milliseconds from{};
    std::chrono::milliseconds to{};

    bool contains(std::chrono::milliseconds time) const
    {
        return from <= time && time < to;
    }
};

/** Requests with one part that crashes each target which begins to answer them. */
struct ModelPoison
{
    ModelPeriod period{};
    double rate = 2; ///< requests a second
    std::size_t firstPart = 0; ///< the popular first part of their prompts, by rank
    bool isAnsweredBefore = false; ///< the part is in sound requests until the period begins
};

/** Targets that die for another reason, each at a random place. */
struct ModelCrashes
{
    std::chrono::milliseconds at{};
    std::size_t count = 1;
    std::chrono::milliseconds interval{};
};

struct PromptPartModelOptions
{
    std::uint64_t seed = 1;
    std::size_t gateways = 4;
    std::size_t targets = 16;
    std::size_t groupSize = 8;
    std::chrono::milliseconds duration{60'000};
    std::chrono::milliseconds minLogLatency{5};
    std::chrono::milliseconds maxLogLatency{250};
    std::chrono::milliseconds logRetention{20'000};
    std::chrono::milliseconds closedTime{4'000}; ///< of a group after a crash
    double soundRate = 50; ///< requests a second
    std::size_t firstParts = 30; ///< the one of rank k is used in proportion to 1 / (k + 1)
    std::vector<ModelPoison> poisons{};
    std::vector<ModelCrashes> crashes{};
    ModelPeriod logAway{};
    ModelPeriod firstGatewayCutOff{};
    std::optional<std::chrono::milliseconds> lastGatewayStart{};
    std::vector<std::chrono::milliseconds> restarts{}; ///< each of another gateway, which forgets everything
    bool dropsVerdicts = false; ///< the log loses PromptPartBlocked
    bool dropsAnswers = false; ///< the log loses PromptPartsAnswered
    bool dropsAnsweredMarks = false; ///< reports do not say which parts were answered
    PromptPartSuspects::Options decision{};
};

struct PromptPartModelResult
{
    struct Poison
    {
        std::size_t deaths = 0;
        std::optional<std::chrono::milliseconds> verdict{}; ///< at the first gateway
        std::optional<std::chrono::milliseconds> fifthDeath{};
        std::size_t reachedLate = 0; ///< requests at targets over 3 s after the fifth death, by gateways in touch
        double soundShareBefore = 1; ///< of first attempts with the same first part that began
        double soundShareAfter = 1; ///< the same from 6 s after the fifth or last death until the last request
    };

    std::vector<Poison> poisons{};
    std::size_t soundRefused = 0; ///< for a blocked part
    std::chrono::milliseconds lastSoundRefused{};
    std::chrono::milliseconds firstSoundRefused{};
    std::size_t records = 0; ///< published by all gateways
    std::size_t bytes = 0; ///< of them, encoded
};

/**
 * Runs gateways, targets in groups and a log in virtual time, with PromptPartSuspects at each gateway.
 *
 * A crash fails what is at the target and closes its group; what has not begun at the group's other targets waits
 * again. Requests wait at their gateway while all groups are closed, and callers retry a failed request once.
 */
PromptPartModelResult runPromptPartModel(const PromptPartModelOptions &options);

} // namespace Heatherridge
