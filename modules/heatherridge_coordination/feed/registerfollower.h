#pragma once

#include "heatherridge_coordination/feed/registerlog.h"
#include "heatherridge_state/base/clock.h"

#include <functional>

namespace Heatherridge
{

/** What a follower tells; each on its thread. */
struct RegisterEvents
{
    /** @p changes are the whole register: what they don't name is gone. */
    std::function<void(const std::vector<RegisterChange> &changes)> replaced{};
    /** @p changes came on top. */
    std::function<void(const std::vector<RegisterChange> &changes)> changed{};
    /** Whether the register answers; told at each change of that and, while it does, at each answer. */
    std::function<void(bool answers, std::string_view reason)> reachable{};
};

/**
 * Follows one register from its present state on, through outages and deleted records. One thread; no clock or timer of
 * its own.
 */
class RegisterFollower
{
public:
    struct Options
    {
        RegisterKind kind = RegisterKind::Rules;
        std::chrono::milliseconds wait{0}; ///< how long a read waits for news
        std::chrono::milliseconds period{0}; ///< between reads that don't wait
        std::chrono::milliseconds retryPause{
            250}; ///< after a failure; a tenth of what a change may take to be in force
    };

    /** Uses @p log, which must outlive it. */
    RegisterFollower(RegisterLog &log, Options options, RegisterEvents events);

    /** Starts a read when one is due. Called often. */
    void tick(SteadyTime now);

    /** Reads the whole register anew after @p delay; what is under way is not taken. */
    void restart(std::chrono::milliseconds delay);

private:
    RegisterLog::Done whenCurrent(void (RegisterFollower::*take)(Result<RegisterPage>, SteadyTime), SteadyTime asked);
    void takeNewest(Result<RegisterPage> page, SteadyTime asked);
    void takeRead(Result<RegisterPage> page, SteadyTime asked);
    void failed(const Error &error);
    void answered(SteadyTime asked);

    RegisterLog &m_log;
    Options m_options;
    RegisterEvents m_events;
    std::optional<std::uint64_t> m_position; ///< nothing: only newest() can tell what holds
    std::uint64_t m_restarts = 0; ///< answers to calls from before the last are not taken
    bool m_isReading = false;
    bool m_answers = true;
    SteadyTime m_now{}; ///< of the last tick; answers come between ticks
    SteadyTime m_next{};
};

} // namespace Heatherridge
