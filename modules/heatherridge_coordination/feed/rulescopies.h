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
 * Maintains copies of the rules and of the drained zones in other partitions of the log, for processes that start while
 * the register of rules cannot be read.
 *
 * One process, selected by the log's work sharing, writes each new version to all copies. A process without rules reads
 * all copies and uses the highest version. Concurrent writers are harmless: each version is a separate record, and a
 * writer removes only versions below the one that it writes.
 *
 * A copy has a record of the drained zones only while a zone is drained. Records of different versions of the rules or
 * positions in the register are separate, and a writer removes only those below its own, so that a writer with outdated
 * orders cannot replace newer ones. After a restore of the log positions are assigned again, so the first update of a
 * copy removes all others. Single-threaded; driven by tick().
 */
class RulesCopies
{
public:
    struct Options
    {
        int count = 1; ///< number of copies, each in its own partition
        std::chrono::milliseconds restoreRetryDelay{250}; ///< after a failed read by a process without rules
        std::chrono::milliseconds callInterval{1'000}; ///< after other failed calls, and between successful reads
    };

    /** What this process currently has to do. */
    struct Duty
    {
        bool writes = false; ///< this process keeps the copies up to date
        bool reads = false; ///< this process has no rules and the register cannot be read
    };

    struct Events
    {
        /** Called in a process without rules, before `restored`, with the newest drained zones read so far. */
        std::function<void(const std::set<ZoneName> &zones)> drainsRestored{};
        /** Called in a process without rules with @p changes read from a copy. */
        std::function<void(const std::vector<RegisterChange> &changes)> restored{};
        /** Called when a "read" or "write", given by @p what, of a copy failed; it is retried. */
        std::function<void(std::string_view what, const Error &error)> failed{};
    };

    /** Uses @p log, which must outlive it. */
    RulesCopies(RegisterLog &log, Options options, Events events);

    /** Sets the newest record of the rules, read from the register itself, and its version. */
    void setRules(const RegisterChange &rules, std::uint64_t version);

    /** Sets the drained zones as read from the register itself up to offset @p position. */
    void setDrains(const std::set<ZoneName> &zones, std::uint64_t position);

    /** Called after the log was restored from an older copy: the contents of the copies have to be read again. */
    void logRestored();

    /** Starts the calls due at @p now. Must be called often. */
    void tick(Duty duty, SteadyTime now);

private:
    struct Copy
    {
        /** Stored versions, each with its number of records; empty until the copy has been read. */
        std::optional<std::map<std::uint64_t, std::size_t>> versions{};
        StoredDrains drains{}; ///< stored drained-zones records
        bool needsRead = false; ///< another writer may have changed the records since the last read
        bool replacesAllDrains = false; ///< stored records may be from before a restore of the log
        bool isCalling = false;
        SteadyTime nextCallAt{}; ///< earliest time of the next call
    };

    void read(int index, bool restores);
    void write(int index);
    void restore(const RulesCopy &stored);
    DrainsStamp drainsStamp() const;
    bool hasCurrentDrains(const Copy &copy) const;
    void addDrains(RulesCopyUpdate &update, const Copy &copy) const;
    void handleFailure(Copy &copy, std::string_view what, const Error &error, std::chrono::milliseconds delay);

    RegisterLog &m_log;
    Options m_options;
    Events m_events;
    std::vector<Copy> m_copies;
    std::optional<RegisterChange> m_rules;
    std::uint64_t m_version = 0; ///< of `m_rules`
    std::set<ZoneName> m_drainedZones; ///< as read from the register
    std::uint64_t m_position = 0; ///< of `m_drainedZones`
    std::optional<DrainsStamp> m_restoredDrains; ///< the newest record passed to `drainsRestored`
    SteadyTime m_now{}; ///< of the last tick; answers arrive between ticks
    std::shared_ptr<int> m_callToken; ///< renewed to drop the answers to all earlier calls
};

} // namespace Heatherridge
