#pragma once

#include "heatherridge_state/base/result.h"
#include "heatherridge_state/routing/drainedzones.h"
#include "heatherridge_state/routing/routingconfig.h"
#include "heatherridge_state/routing/targetentry.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Heatherridge
{

/** Registers that the platform keeps: keyed records of which only the newest of each key is retained. */
enum class RegisterKind {
    Rules, ///< the configuration in force and the operator's orders about availability zones
    Targets, ///< which target serves what, written by the targets
};

/** One record of a register. */
struct RegisterChange
{
    std::string key{};
    std::optional<std::string> value{}; ///< empty: the key was removed
    std::uint64_t offset = 0; ///< its offset in the register
};

/** Consecutive records of a register. */
struct RegisterPage
{
    std::vector<RegisterChange> changes{};
    std::uint64_t end = 0; ///< the offset to continue from
};

/** The state of the register of rules that a record of drained zones was written from; the highest is the newest. */
struct DrainsStamp
{
    std::uint64_t version = 0; ///< of the rules in force
    std::uint64_t position = 0; ///< offset up to which the register had been read

    auto operator<=>(const DrainsStamp &) const = default;
};

/** The zones in the drained-zones records of a copy; empty for a record that cannot be read. */
using StoredDrains = std::map<DrainsStamp, std::optional<std::set<ZoneName>>>;

/** The contents of one copy of the register of rules. */
struct RulesCopy
{
    std::vector<RegisterChange> changes{}; ///< each in the form of a record of the register itself
    std::map<std::uint64_t, std::size_t> versions{}; ///< stored versions, each with its number of log records
    StoredDrains drains{}; ///< absent if no zone was drained, or if an earlier version wrote the copy
};

/** A change to one copy of the register of rules. */
struct RulesCopyUpdate
{
    std::optional<RegisterChange> rules{}; ///< a record of the register of rules to add; empty: already stored
    std::uint64_t version = 0; ///< of `rules`
    std::map<std::uint64_t, std::size_t> droppedVersions{}; ///< versions to remove, each with its number of records
    std::map<DrainsStamp, std::set<ZoneName>> drains{}; ///< drained-zones records to add
    std::set<DrainsStamp> droppedDrains{}; ///< drained-zones records to remove
};

/** Interface to the platform's registers. Single-threaded; answers arrive later on the same thread. */
class RegisterLog
{
public:
    using Done = std::function<void(Result<RegisterPage>)>;

    virtual ~RegisterLog() = default;

    /** Reads the newest record of each key. */
    virtual void readNewest(RegisterKind kind, Done done) = 0;

    /**
     * Reads the records from offset @p from on; waits up to @p wait for the first. An error of kind NotFound means that
     * records from there on have been deleted, so that the current content has to be read with readNewest().
     */
    virtual void read(RegisterKind kind, std::uint64_t from, std::chrono::milliseconds wait, Done done) = 0;

    /** Reads the records held by copy @p copy of the rules. */
    virtual void readCopy(int copy, std::function<void(Result<RulesCopy>)> done) = 0;

    /**
     * Applies @p update to copy @p copy. The call is atomic. Returns the number of records that hold the rules: 0 if
     * they are too large for the log, in which case the rest of the update is still applied, or if there are none.
     */
    virtual void writeCopy(int copy, const RulesCopyUpdate &update, std::function<void(Result<std::size_t>)> done) = 0;

    /** Returns the configuration in @p change, or an error of kind BadRequest; empty if its key is not a
     * configuration's. */
    virtual std::optional<Result<RoutingConfig>> parseRules(const RegisterChange &change) const = 0;

    /** Returns the order about an availability zone in @p change; empty if its key is not one's. */
    virtual std::optional<ZoneDrain> parseZoneDrain(const RegisterChange &change) const = 0;

    /** Returns the target in @p change, or an error of kind BadRequest if it does not describe a usable one. */
    virtual Result<TargetRecord> parseTarget(const RegisterChange &change) const = 0;
};

} // namespace Heatherridge
