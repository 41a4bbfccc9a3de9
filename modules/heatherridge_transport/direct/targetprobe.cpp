#include "heatherridge_transport/direct/targetprobe.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cassert>

namespace Heatherridge
{

/** A connection that is being opened, and who waits for it. */
struct TargetProbe::Question
{
    explicit Question(asio::io_context &loop)
        : socket(loop)
        , timer(loop)
    {
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::vector<Done> waiting{};
};

std::string_view toString(Presence presence)
{
    switch (presence) {
    case Presence::Listening:
        return "listening";
    case Presence::Gone:
        return "gone";
    case Presence::Unknown:
        return "unknown";
    }
    assert(false);
    return "unknown";
}

TargetProbe::TargetProbe(asio::io_context &loop, std::chrono::milliseconds timeout, Metrics &metrics)
    : m_loop(loop)
    , m_timeout(timeout)
    , m_probes(metrics.counter("heatherridge_target_probes_total"))
{
}

TargetProbe::~TargetProbe() = default;

void TargetProbe::ask(const TargetEntry &target, Done done)
{
    auto &question = m_questions[target.id];
    if (question) {
        question->waiting.push_back(std::move(done));
        return;
    }
    m_probes.add();
    question = std::make_unique<Question>(m_loop);
    question->waiting.push_back(std::move(done));
    question->timer.expires_after(m_timeout);
    question->timer.async_wait([this, id = target.id](const asio::error_code &error) {
        if (!error) {
            answered(id, Presence::Unknown);
        }
    });
    asio::error_code malformed;
    const auto address = asio::ip::make_address(target.address.address, malformed);
    const asio::ip::tcp::endpoint endpoint(address, static_cast<std::uint16_t>(target.address.port));
    question->socket.async_connect(endpoint, [this, id = target.id](const asio::error_code &error) {
        if (error == asio::error::operation_aborted) {
            return; // the timer was first
        }
        const auto refused = error == asio::error::connection_refused ? Presence::Gone : Presence::Unknown;
        answered(id, error ? refused : Presence::Listening);
    });
}

void TargetProbe::answered(const TargetName &target, Presence presence)
{
    const auto node = m_questions.extract(target);
    if (node.empty()) {
        return;
    }
    for (const auto &done : node.mapped()->waiting) {
        done(presence);
    }
}

} // namespace Heatherridge
