#include "heatherridge_transport/direct/targetprobe.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cassert>

namespace Heatherridge
{

/** A connection attempt and the callbacks that wait for its result. */
struct TargetProbe::PendingProbe
{
    explicit PendingProbe(asio::io_context &loop)
        : socket(loop)
        , timer(loop)
    {
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::vector<Done> waiting{};
};

std::string_view toString(ProbeResult result)
{
    switch (result) {
    case ProbeResult::Listening:
        return "listening";
    case ProbeResult::Refused:
        return "gone";
    case ProbeResult::Unknown:
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

void TargetProbe::probe(const TargetEntry &target, Done done)
{
    auto &pending = m_pending[target.id];
    if (pending) {
        pending->waiting.push_back(std::move(done));
        return;
    }
    m_probes.add();
    pending = std::make_unique<PendingProbe>(m_loop);
    pending->waiting.push_back(std::move(done));
    pending->timer.expires_after(m_timeout);
    pending->timer.async_wait([this, id = target.id](const asio::error_code &error) {
        if (!error) {
            finish(id, ProbeResult::Unknown);
        }
    });
    asio::error_code invalid;
    const auto address = asio::ip::make_address(target.address.address, invalid);
    const asio::ip::tcp::endpoint endpoint(address, static_cast<std::uint16_t>(target.address.port));
    pending->socket.async_connect(endpoint, [this, id = target.id](const asio::error_code &error) {
        if (error == asio::error::operation_aborted) {
            return; // the timer expired first
        }
        const auto failure = error == asio::error::connection_refused ? ProbeResult::Refused : ProbeResult::Unknown;
        finish(id, error ? failure : ProbeResult::Listening);
    });
}

void TargetProbe::finish(const TargetName &target, ProbeResult result)
{
    const auto node = m_pending.extract(target);
    if (node.empty()) {
        return;
    }
    for (const auto &done : node.mapped()->waiting) {
        done(result);
    }
}

} // namespace Heatherridge
