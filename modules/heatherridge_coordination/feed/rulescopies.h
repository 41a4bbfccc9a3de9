#pragma once

#include "heatherridge_coordination/feed/registerlog.h"
#include "heatherridge_state/base/clock.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace Heatherridge
{

/**
 * Keeps copies of the rules in other partitions of the log, for processes that start while the register of rules cannot
 * be read.
 *
 * One process, which the log's division of work names, writes each new version to all copies. A process without any
 * rules reads them all, and takes the highest version. Two writers do no harm: each version is a record of its own, and
 * a writer drops only records below the version that it writes. One thread; moved on by tick().
 */
class RulesCopies
{
public:
    struct Options
    {
        int count = 1; ///< copies, each in a partition of its own
        std::chrono::milliseconds restoreRetryDelay{250}; ///< after a read that failed, of a process without rules
        std::chrono::milliseconds callInterval{
            1'000}; ///< after any other call that failed, and between reads that succeed
    };

    /** What this process has to do at present. */
    struct Duty
    {
        bool writes = false; ///< this process keeps the copies up to date
        bool reads = false; ///< it has no rules, and the register cannot be read
    };

    struct Events
    {
        /** A process without rules has read @p changes from a copy. */
        std::function<void(const std::vector<RegisterChange> &changes)> restored{};
        /** A call failed that was to @p what, "read" or "write", a copy; it is made again. */
        std::function<void(std::string_view what, const Error &error)> failed{};
    };

    /** Uses @p log, which must outlive it. */
    RulesCopies(RegisterLog &log, Options options, Events events);

    /** @p rules, read from the register itself, is the newest record, of @p version. */
    void setRules(const RegisterChange &rules, std::uint64_t version);

    /** The log has come back from an older copy: what the copies hold has to be read again. */
    void logRestored();

    /** Starts the calls that are due. Called often. */
    void tick(Duty duty, SteadyTime now);

private:
    struct Copy
    {
        /** That it holds, and in how many records; nothing before it was read. */
        std::optional<std::map<std::uint64_t, std::size_t>> versions{};
        bool isCalling = false;
        SteadyTime nextCallAt{}; ///< no call before
    };

    void read(int index, bool restores);
    void write(int index);
    void handleFailure(Copy &copy, std::string_view what, const Error &error, std::chrono::milliseconds delay);

    RegisterLog &m_log;
    Options m_options;
    Events m_events;
    std::vector<Copy> m_copies;
    std::optional<RegisterChange> m_rules;
    std::uint64_t m_version = 0; ///< of `m_rules`
    SteadyTime m_now{}; ///< of the last tick; answers come between ticks
    std::shared_ptr<int> m_callToken; ///< answers to calls that were made before it was renewed are dropped
};

} // namespace Heatherridge
