#include "heatherridge_coordination/config/publisher.h"

#include "heatherridge_protocol/controlrecordcodec.h"

namespace Heatherridge
{

Publisher::Publisher(LogService &service, RandomSource &random, PublishRequest request, const PublisherOptions &options)
    : m_service(service)
    , m_random(random)
    , m_request(std::move(request))
    , m_options(options)
    , m_follower(service, m_replica, random, options.follower)
    , m_retryBackoff(options.initialBackoff, options.maxBackoff)
{
}

void Publisher::tick(SteadyTime now)
{
    if (m_result) {
        return;
    }
    if (!m_deadline) {
        m_deadline = now + m_options.timeout;
        if (auto faults = validate(m_request.text); !faults.empty()) {
            m_result = PublishInvalid{.faults = std::move(faults)};
            return;
        }
    }
    m_follower.tick(now);
    if (m_replica.isConfirmed() && checkOutcome()) {
        return;
    }
    if (now >= *m_deadline) {
        if (m_mayHaveEffect || m_isAppending) {
            m_result = PublishUnknown{.operation = m_request.operation, .basedOn = m_record->basedOn};
        } else {
            m_result = PublishNotSent{.detail = "the log did not answer in time"};
        }
        return;
    }
    if (m_isBackoffPending) {
        m_isBackoffPending = false;
        m_nextAttemptAt = now + m_retryBackoff.nextDelay(m_random);
    }
    if (m_replica.isConfirmed() && !m_isAppending && !m_isAppended && now >= m_nextAttemptAt) {
        if (!m_record) {
            buildRecord();
        }
        if (!m_result) {
            appendRecord();
        }
    }
}

std::vector<ConfigFault> Publisher::validate(const std::string &text) const
{
    const auto document = IniDocument::parse(text);
    if (m_request.document == DocumentKind::Inventory) {
        const auto result = Inventory::fromDocument(document);
        const auto *faults = std::get_if<std::vector<ConfigFault>>(&result);
        return faults != nullptr ? *faults : std::vector<ConfigFault>();
    }
    const auto result = RuleSet::fromDocument(document);
    const auto *faults = std::get_if<std::vector<ConfigFault>>(&result);
    return faults != nullptr ? *faults : std::vector<ConfigFault>();
}

bool Publisher::checkOutcome()
{
    const auto *outcome = m_replica.state().outcomeOf(m_request.operation);
    if (outcome == nullptr) {
        return false;
    }
    if (m_record && outcome->contentHash != contentHash(*m_record)) {
        m_result = PublishReused{.decidedAt = outcome->decidedAt};
    } else if (outcome->refusal) {
        m_result = PublishRefused{.decidedAt = outcome->decidedAt, .refusal = *outcome->refusal};
    } else {
        m_result = PublishAccepted{.offset = outcome->decidedAt};
    }
    return true;
}

void Publisher::buildRecord()
{
    const auto &state = m_replica.state();
    const auto &current = state.document(m_request.document);
    Publish record{.document = m_request.document,
                   .operation = m_request.operation,
                   .basedOn = m_request.basedOn.value_or(state.offset())};
    auto change = current.diffTo(m_request.text);
    if (change && change->put.empty() && change->removed.empty()) {
        m_result = PublishUnchanged{.offset = current.image().changedAt};
        return;
    }
    if (change && change->put.size() < m_request.text.size()) {
        record.content = *std::move(change);
    } else {
        record.content = WholeDocument{.text = m_request.text};
    }
    m_record = std::move(record);
}

void Publisher::appendRecord()
{
    m_isAppending = true;
    ++m_counters.appends;
    m_service.append(ControlStream, encodeControlRecord(*m_record),
                     [this, alive = std::weak_ptr(m_alive)](const Result<LogOffset> &result) {
                         if (!alive.expired()) {
                             handleAppendResult(result);
                         }
                     });
}

void Publisher::handleAppendResult(const Result<LogOffset> &result)
{
    m_isAppending = false;
    const auto *error = errorIn(result);
    if (error == nullptr) {
        m_mayHaveEffect = true;
        m_isAppended = true;
        return;
    }
    m_isBackoffPending = true;
    if (error->ran == ExecutionStatus::No) {
        ++m_counters.failedAppends;
    } else {
        // The reply was lost, possibly after the record was stored. The backoff gives the follower time to read it
        // first; if it appears only after the second append, the fold applies only one of the two.
        ++m_counters.lostReplies;
        m_mayHaveEffect = true;
    }
}

const std::optional<PublishResult> &Publisher::result() const
{
    return m_result;
}

const PublisherCounters &Publisher::counters() const
{
    return m_counters;
}

} // namespace Heatherridge
