#include "fakegate.h"

namespace Heatherridge::PolicyModel
{

using std::chrono::duration_cast;
using std::chrono::microseconds;

FakeGate::FakeGate(GateOptions options, EngineOptions engine, const std::vector<Customer> &customers, EventLoop &loop)
    : m_options(options)
    , m_customers(customers)
    , m_loop(loop)
    , m_engine(engine, loop)
    , m_queue(options.queue)
    , m_limit(options.limit)
{
    updateLimit();
    m_engine.setWatcher({.stepped =
                             [this](microseconds duration) {
                                 m_limit.recordTokenGap(duration, m_running, m_loop.now());
                                 updateLimit();
                             },
                         .firstToken =
                             [this](const Job &job, SteadyTime started) {
                                 m_pendingPrompt -= job.expectedFresh;
                                 m_limit.recordFirstToken(started, m_running, m_loop.now());
                             }});
}

void FakeGate::updateLimit()
{
    m_queue.setLimit(m_options.adaptive ? m_limit.limit() : m_options.fixedLimit);
}

void FakeGate::offer(const Job &job, std::size_t entry, CompletionHandler onCompleted)
{
    if (m_down) {
        onCompleted({.error = Error{.kind = ErrorKind::TargetUnreachable}});
        return;
    }
    const RequestId id(std::to_string(m_nextId++));
    const auto &customer = m_customers[job.customer];
    m_attempts.emplace(id, ActiveAttempt{.job = job, .entry = entry, .onCompleted = std::move(onCompleted)});
    m_load += job.cost;
    m_loadOfEntry[entry] += job.cost;
    if (!m_options.admission) {
        start(id);
        return;
    }
    const auto offer = m_queue.offer({.id = id,
                                      .workspace = WorkspaceName(customer.name),
                                      .weight = customer.weight,
                                      .cost = job.cost,
                                      .deadline = job.deadline},
                                     m_loop.now());
    if (std::holds_alternative<Started>(offer)) {
        start(id);
    } else if (const auto *refusal = std::get_if<Error>(&offer)) {
        end(id, {.error = *refusal});
    }
    drainQueue();
}

void FakeGate::setDown(bool down)
{
    m_down = down;
    m_engine.crash();
    m_queue = AdmissionQueue(m_options.queue);
    m_limit.restart();
    updateLimit();
    m_running = 0;
    m_pendingPrompt = 0;
    while (!m_attempts.empty()) {
        const auto &[id, attempt] = *m_attempts.begin();
        end(id, {.error = Error{.kind = attempt.running ? ErrorKind::OutcomeUnknown : ErrorKind::TargetUnreachable}});
    }
}

GateReport FakeGate::reportFor(std::size_t entry) const
{
    const auto load = m_loadOfEntry.find(entry);
    return {.load = m_load,
            .entryLoad = load == m_loadOfEntry.end() ? 0 : load->second,
            .capacity = m_queue.load().capacity,
            .pressure = m_queue.load().pressure,
            .pendingPrompt = m_pendingPrompt,
            .warmth = m_options.adaptive ? m_limit.warmth() : 1,
            .tokenGap = microseconds(static_cast<long long>(m_tokenGap))};
}

void FakeGate::start(const RequestId &id)
{
    auto &attempt = m_attempts.at(id);
    attempt.running = true;
    attempt.started = m_loop.now();
    ++m_running;
    m_pendingPrompt += attempt.job.expectedFresh;
    m_engine.submit(attempt.job, [this, id](const EngineResult &done) { finish(id, done); });
}

void FakeGate::finish(const RequestId &id, const EngineResult &done)
{
    const auto &attempt = m_attempts.at(id);
    const double actual = requestCost(attempt.job.promptTokens, done.generated);
    m_queue.finish(id, actual, m_loop.now());
    --m_running;
    const auto tokenGap = static_cast<double>(done.tokenGap.count());
    m_tokenGap = m_tokenGap == 0 ? tokenGap : m_tokenGap * 0.9 + tokenGap * 0.1;
    end(id, {.engineResult = done, .started = attempt.started});
    drainQueue();
}

void FakeGate::end(const RequestId &id, const AttemptResult &result)
{
    const auto entry = m_attempts.find(id);
    const ActiveAttempt attempt = std::move(entry->second);
    m_attempts.erase(entry);
    m_load -= attempt.job.cost;
    m_loadOfEntry[attempt.entry] -= attempt.job.cost;
    attempt.onCompleted(result);
}

void FakeGate::drainQueue()
{
    while (const auto next = m_queue.startNext(m_loop.now())) {
        start(*next);
    }
    for (const auto &givenUp : m_queue.collectAbandoned()) {
        end(givenUp.id, {.error = givenUp.error});
    }
    scheduleSweep();
}

void FakeGate::scheduleSweep()
{
    const auto next = m_queue.nextSweep();
    if (!next || m_sweepAt) {
        return;
    }
    m_sweepAt = next;
    const auto wait = std::max(duration_cast<microseconds>(*next - m_loop.now()), microseconds(0));
    m_loop.after(wait + microseconds(1), [this] {
        m_sweepAt.reset();
        drainQueue();
    });
}

} // namespace Heatherridge::PolicyModel
