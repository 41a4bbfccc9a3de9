#pragma once

#include "heatherridge_coordination/config/logfollower.h"

#include <variant>

namespace Heatherridge
{

/** What an operator wants to be in force. */
struct PublishRequest
{
    DocumentKind document = DocumentKind::Inventory;
    OperationId operation{}; ///< the same when the command is run again after an unknown outcome
    std::optional<LogOffset> basedOn{}; ///< what the operator had seen; nothing for the newest offset
    std::string text{}; ///< the whole document; only what differs is sent
};

/** It is accepted: every reader has it in force once it has folded this record. */
struct PublishAccepted
{
    LogOffset offset{};
};

/** It is refused and will never take effect. */
struct PublishRefused
{
    LogOffset decidedAt{};
    Refusal refusal{};
};

/** Its operation id was used before for other content; nothing is known about this one but that it has no effect. */
struct PublishReused
{
    LogOffset decidedAt{};
};

/** The document has faults; nothing was sent. */
struct PublishInvalid
{
    std::vector<ConfigFault> faults{};
};

/** The document in force is already this one; nothing was sent. */
struct PublishUnchanged
{
    LogOffset offset{}; ///< of the record that put it in force
};

/** The log could not be reached; nothing was sent. */
struct PublishNotSent
{
    std::string detail{};
};

/** It was sent and nobody could say what became of it. Run again with the same operation and basis. */
struct PublishUnknown
{
    OperationId operation{};
    LogOffset basedOn{};
};

using PublishResult = std::variant<PublishAccepted, PublishRefused, PublishReused, PublishInvalid, PublishUnchanged,
                                   PublishNotSent, PublishUnknown>;

/** How long a publisher tries. */
struct PublisherOptions
{
    std::chrono::milliseconds timeout{30'000};
    std::chrono::milliseconds initialBackoff{200};
    std::chrono::milliseconds maxBackoff{2'000};
    LogFollowerOptions follower{};
};

/** Appends of one publisher, by how they ended. */
struct PublisherCounters
{
    std::uint64_t appends = 0;
    std::uint64_t failedAppends = 0; ///< surely without effect
    std::uint64_t lostReplies = 0; ///< perhaps with effect
};

/**
 * Publishes one document and finds out whether it was accepted.
 *
 * "Accepted" is said only after the own fold of the log has accepted the record. An append whose reply is lost is
 * settled by reading on for its operation id; only when it has not shown up after a pause is the same record
 * appended once more, and then at most one of the two counts. The service must outlive it. One thread.
 */
class Publisher
{
public:
    Publisher(LogService &service, RandomSource &random, PublishRequest request, const PublisherOptions &options = {});

    /** Goes on at @p now; the first call starts the timeout. */
    void tick(SteadyTime now);

    /** How it ended; nothing while it runs. */
    const std::optional<PublishResult> &result() const;

    /** Counters since the start. */
    const PublisherCounters &counters() const;

private:
    std::vector<ConfigFault> validate(const std::string &text) const;
    bool checkOutcome();
    void buildRecord();
    void appendRecord();
    void handleAppendResult(const Result<LogOffset> &result);

    LogService &m_service;
    RandomSource &m_random;
    PublishRequest m_request;
    PublisherOptions m_options;
    ConfigReplica m_replica;
    LogFollower m_follower;
    RetryBackoff m_retryBackoff;
    std::optional<SteadyTime> m_deadline;
    std::optional<Publish> m_record; ///< built once; every append carries the same
    bool m_isAppending = false;
    bool m_mayHaveEffect = false;
    bool m_isAppended = false; ///< the log has told its offset; it only has to be folded
    bool m_isBackoffPending = false; ///< a pause has to be drawn before the next append
    SteadyTime m_nextAttemptAt{};
    std::optional<PublishResult> m_result;
    PublisherCounters m_counters;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Heatherridge
