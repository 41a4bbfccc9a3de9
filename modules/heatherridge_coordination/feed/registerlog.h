#pragma once

#include "heatherridge_state/base/result.h"
#include "heatherridge_state/routing/routingconfig.h"
#include "heatherridge_state/routing/targetentry.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Heatherridge
{

/** What the platform keeps for its users as keyed records, of which the newest of each key lasts. */
enum class RegisterKind {
    Rules, ///< the configuration in force
    Targets, ///< who serves what, written by the targets
};

/** One record of a register. */
struct RegisterChange
{
    std::string key{};
    std::optional<std::string> value{}; ///< nothing: the key is gone
    std::uint64_t offset = 0; ///< where it stands in the register
};

/** Some records of a register in their order. */
struct RegisterPage
{
    std::vector<RegisterChange> changes{};
    std::uint64_t end = 0; ///< where to read on
};

/** The records of rules in one copy of their register. */
struct RulesCopy
{
    std::vector<RegisterChange> changes{}; ///< each can be read as one of the register itself
    std::map<std::uint64_t, std::size_t> versions{}; ///< of them, and how many records of the log hold each
};

/** The platform's registers. One thread; answers come later on the same thread. */
class RegisterLog
{
public:
    using Done = std::function<void(Result<RegisterPage>)>;

    virtual ~RegisterLog() = default;

    /** The newest record of each key. */
    virtual void readNewest(RegisterKind kind, Done done) = 0;

    /**
     * The records from offset @p from on; waits up to @p wait for the first. An error of kind NotFound says that
     * records from there on have been deleted, so that only readNewest() tells what holds.
     */
    virtual void read(RegisterKind kind, std::uint64_t from, std::chrono::milliseconds wait, Done done) = 0;

    /** The records that copy @p copy of the rules holds. */
    virtual void readCopy(int copy, std::function<void(Result<RulesCopy>)> done) = 0;

    /**
     * Adds @p rules, a record of the register of rules, to copy @p copy of it as @p version, and drops the versions
     * @p dropped, each with its number of records. All of it takes effect, or nothing. Tells how many records hold
     * @p version: none if it is too large for the log, and then the others are dropped all the same.
     */
    virtual void writeCopy(int copy, const RegisterChange &rules, std::uint64_t version,
                           const std::map<std::uint64_t, std::size_t> &dropped,
                           std::function<void(Result<std::size_t>)> done) = 0;

    /** The configuration in @p change, or an error of kind BadRequest; nothing for a key that is none. */
    virtual std::optional<Result<RoutingConfig>> parseRules(const RegisterChange &change) const = 0;

    /** The target in @p change, or an error of kind BadRequest when it names no usable one. */
    virtual Result<TargetRecord> parseTarget(const RegisterChange &change) const = 0;
};

} // namespace Heatherridge
