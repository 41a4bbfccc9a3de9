#pragma once

#include "heatherridge_coordination/config/logfollower.h"

#include <variant>

namespace Heatherridge
{

/** A document that an operator wants to put in force. */
struct PublishRequest
{
    DocumentKind document = DocumentKind::Inventory;
    OperationId operation{}; ///< reused when the command is repeated after an unknown outcome
    std::optional<LogOffset> basedOn{}; ///< the offset that the operator's edit is based on; empty for the newest
    std::string text{}; ///< the whole document; only the differences are sent
};

/** Accepted: in force in every process that has folded this record. */
struct PublishAccepted
{
    LogOffset offset{};
};

/** Refused; it will never take effect. */
struct PublishRefused
{
    LogOffset decidedAt{};
    Refusal refusal{};
};

/** The operation id was used before with different content. This request has no effect. */
struct PublishReused
{
    LogOffset decidedAt{};
};

/** The document is invalid; nothing was sent. */
struct PublishInvalid
{
    std::vector<ConfigFault> faults{};
};

/** The document is already in force; nothing was sent. */
struct PublishUnchanged
{
    LogOffset offset{}; ///< of the record that put it in force
};

/** The log could not be reached; nothing was sent. */
struct PublishNotSent
{
    std::string detail{};
};

/** The record was sent but its outcome is unknown. Publish again with the same operation id and basis. */
struct PublishUnknown
{
    OperationId operation{};
    LogOffset basedOn{};
};

using PublishResult = std::variant<PublishAccepted, PublishRefused, PublishReused, PublishInvalid, PublishUnchanged,
                                   PublishNotSent, PublishUnknown>;

/** Timeout and backoff of a Publisher. */
struct PublisherOptions
{
    std::chrono::milliseconds timeout{30'000};
    std::chrono::milliseconds initialBackoff{200};
    std::chrono::milliseconds maxBackoff{2'000};
    LogFollowerOptions follower{};
};

/** Appends of a Publisher, by outcome. */
struct PublisherCounters
{
    std::uint64_t appends = 0;
    std::uint64_t failedAppends = 0; ///< certainly without effect
    std::uint64_t lostReplies = 0; ///< possibly with effect
};

/**
 * Publishes one document and determines whether it was accepted.
 *
 * PublishAccepted is reported only after the publisher's own fold of the log has accepted the record. If the reply to
 * an append is lost, the publisher continues to read the log for its operation id. Only if the record has not appeared
 * after a backoff delay is the same record appended again; at most one of the two takes effect. The service must
 * outlive the publisher. Single-threaded.
 */
class Publisher
{
public:
    Publisher(LogService &service, RandomSource &random, PublishRequest request, const PublisherOptions &options = {});

    /** Performs the work due at @p now; the first call starts the timeout. */
    void tick(SteadyTime now);

    /** Returns the result; empty while the publish is in progress. */
    const std::optional<PublishResult> &result() const;

    /** Returns the counters since the start. */
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
    std::optional<Publish> m_record; ///< built once; every append sends the same record
    bool m_isAppending = false;
    bool m_mayHaveEffect = false;
    bool m_isAppended = false; ///< the log has acknowledged the record, which is yet to be folded
    bool m_isBackoffPending = false; ///< a delay must be drawn before the next append
    SteadyTime m_nextAttemptAt{};
    std::optional<PublishResult> m_result;
    PublisherCounters m_counters;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Heatherridge
