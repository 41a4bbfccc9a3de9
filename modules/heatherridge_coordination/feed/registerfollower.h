#pragma once

#include "heatherridge_coordination/feed/registerlog.h"
#include "heatherridge_state/base/clock.h"

#include <functional>

namespace Heatherridge
{

/** Events of a RegisterFollower, called on its thread. */
struct RegisterEvents
{
    /** Called with the whole register: keys that @p changes do not contain no longer exist. */
    std::function<void(const std::vector<RegisterChange> &changes)> replaced{};
    /** Called with changes to the register's previous content. */
    std::function<void(const std::vector<RegisterChange> &changes)> changed{};
    /** Called with whether the register answers: on each change of that, and on each answer. */
    std::function<void(bool isReachable, std::string_view reason)> reachable{};
};

/**
 * Follows one register from its current content on, across outages and deleted records. Single-threaded; has no clock
 * or timer of its own.
 */
class RegisterFollower
{
public:
    struct Options
    {
        RegisterKind kind = RegisterKind::Rules;
        std::chrono::milliseconds pollTimeout{0}; ///< how long a read waits for a change
        std::chrono::milliseconds pollInterval{0}; ///< between the starts of reads
        std::chrono::milliseconds retryDelay{250}; ///< a tenth of the time within which a change must be in force
    };

    /** Uses @p log, which must outlive it. */
    RegisterFollower(RegisterLog &log, Options options, RegisterEvents events);

    /** Starts a read if one is due. Must be called often. */
    void tick(SteadyTime now);

    /** Returns the offset up to which the register has been read, including the changes of the current event. */
    std::uint64_t position() const;

    /** Reads the whole register again after @p delay; the answer to a read in progress is ignored. */
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
    std::uint64_t m_position = 0;
    std::optional<std::uint64_t> m_nextOffset; ///< empty: the current content has to be read with readNewest()
    std::uint64_t m_restartCount = 0; ///< answers to calls from before the last restart are ignored
    bool m_isReading = false;
    bool m_isReachable = true;
    SteadyTime m_now{}; ///< of the last tick; answers arrive between ticks
    SteadyTime m_nextReadAt{};
};

} // namespace Heatherridge
