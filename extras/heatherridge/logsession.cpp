#include "logsession.h"

#include <future>
#include <random>

namespace Heatherridge
{

namespace
{

constexpr std::chrono::milliseconds TickPeriod{5};

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace

LogSession::LogSession(const Endpoint &log, std::chrono::milliseconds timeout)
    : m_timeout(timeout)
    , m_random(randomSeed())
    , m_client(std::make_unique<HttpClient>(m_loop.context(), HttpClient::Options{}))
    , m_log(std::make_unique<HttpLogService>(*m_client, HttpLogService::Options{.endpoint = log}))
{
    m_loop.start();
}

LogSession::~LogSession()
{
    m_loop.stop();
}

std::optional<ActiveConfig> LogSession::readActiveConfig()
{
    ConfigReplica replica;
    std::optional<LogFollower> follower;
    std::optional<ActiveConfig> config;
    const auto deadline = m_clock.steadyNow() + m_timeout;
    runUntil([&](SteadyTime now) {
        if (!follower) {
            follower.emplace(*m_log, replica, m_random);
        }
        follower->tick(now);
        if (replica.isConfirmed()) {
            const auto &state = replica.state();
            config = ActiveConfig{.offset = state.offset(),
                                  .inventoryOffset = state.inventoryOffset(),
                                  .rulesOffset = state.rulesOffset(),
                                  .digest = state.digest(),
                                  .rulesText = state.document(DocumentKind::Rules).text(),
                                  .inventory = state.inventory(),
                                  .rules = state.rules()};
        }
        const bool done = config || now >= deadline;
        if (done) {
            follower.reset();
        }
        return done;
    });
    return config;
}

PublishResult LogSession::publish(PublishRequest request)
{
    std::optional<Publisher> publisher;
    std::optional<PublishResult> result;
    runUntil([&](SteadyTime now) {
        if (!publisher) {
            publisher.emplace(*m_log, m_random, std::move(request), PublisherOptions{.timeout = m_timeout});
        }
        publisher->tick(now);
        result = publisher->result();
        if (result) {
            publisher.reset();
        }
        return result.has_value();
    });
    return *std::move(result);
}

void LogSession::runUntil(const std::function<bool(SteadyTime now)> &step)
{
    std::promise<void> done;
    std::function<void()> tick = [&] {
        if (step(m_clock.steadyNow())) {
            done.set_value();
        } else {
            m_loop.after(TickPeriod, tick);
        }
    };
    m_loop.post(tick);
    done.get_future().wait();
}

} // namespace Heatherridge
