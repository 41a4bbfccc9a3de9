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
    std::function<void(bool isReachable, std::string_view reason)> reachable{};
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
        std::chrono::milliseconds pollTimeout{0}; ///< how long a read waits for news
        std::chrono::milliseconds pollInterval{0}; ///< between reads that don't wait
        std::chrono::milliseconds retryDelay{
            250}; ///< after a failure; a tenth of what a change may take to be in force
    };

    /** Uses @p log, which must outlive it. */
    RegisterFollower(RegisterLog &log, Options options, RegisterEvents events);

    /** Starts a read when one is due. Called often. */
    void tick(SteadyTime now);

    /** Reads the whole register anew after @p delay; what is under way is not taken. */
    void restart(std::chrono::milliseconds delay);

private:
    RegisterLog::Done ifNotRestarted(void (RegisterFollower::*handler)(Result<RegisterPage>, SteadyTime),
                                     SteadyTime requestedAt);
    void handleNewest(Result<RegisterPage> page, SteadyTime requestedAt);
    void handleRead(Result<RegisterPage> page, SteadyTime requestedAt);
    void handleFailure(const Error &error);
    void handleAnswer(SteadyTime requestedAt);

    RegisterLog &m_log;
    Options m_options;
    RegisterEvents m_events;
    std::optional<std::uint64_t> m_nextOffset; ///< nothing: only readNewest() can tell what holds
    std::uint64_t m_restartCount = 0; ///< answers to calls from before the last are not taken
    bool m_isReading = false;
    bool m_isReachable = true;
    SteadyTime m_now{}; ///< of the last tick; answers come between ticks
    SteadyTime m_nextReadAt{};
};

} // namespace Heatherridge
