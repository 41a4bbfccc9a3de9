#include "gateway/scriptedtarget.h"

#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

#include <algorithm>

#include <sys/socket.h>

namespace Heatherridge
{

using asio::ip::tcp;

ScriptedTarget::ScriptedTarget(Script script)
    : m_script(std::move(script))
    , m_acceptor(m_loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , m_acceptThread([this] {
        while (!m_isStopping) {
            asio::error_code error;
            auto socket = std::make_shared<tcp::socket>(m_loop);
            m_acceptor.accept(*socket, error);
            if (error || m_isStopping) {
                return;
            }
            const std::lock_guard lock(m_mutex);
            m_open.insert(socket->native_handle());
            m_threads.emplace_back([this, socket] { serve(std::move(*socket)); });
        }
    })
{
}

ScriptedTarget::~ScriptedTarget()
{
    m_isStopping = true;
    asio::error_code ignored;
    tcp::socket waker(m_loop);
    waker.connect(m_acceptor.local_endpoint(), ignored);
    m_acceptThread.join();
    for (auto &thread : m_threads) {
        thread.join();
    }
}

Endpoint ScriptedTarget::endpoint() const
{
    return {.address = "127.0.0.1", .port = m_acceptor.local_endpoint().port()};
}

std::vector<std::string> ScriptedTarget::requests() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

int ScriptedTarget::closedByPeer() const
{
    return m_closedByPeer;
}

int ScriptedTarget::resetByPeer() const
{
    return m_resetByPeer;
}

void ScriptedTarget::serve(tcp::socket socket)
{
    const int handle = socket.native_handle();
    converse(socket);
    const std::lock_guard lock(m_mutex);
    m_open.erase(handle);
}

void ScriptedTarget::converse(tcp::socket &socket)
{
    asio::streambuf buffer;
    while (!m_isStopping) {
        asio::error_code error;
        const auto headSize = asio::read_until(socket, buffer, "\r\n\r\n", error);
        if (error) {
            ++m_closedByPeer;
            return;
        }
        std::string request(headSize, '\0');
        buffer.sgetn(request.data(), static_cast<std::streamsize>(headSize));
        const auto length = headerIn(request, "Content-Length");
        const auto bodySize = length.empty() ? std::size_t{0} : std::stoul(length);
        if (buffer.size() < bodySize) {
            asio::read(socket, buffer, asio::transfer_exactly(bodySize - buffer.size()), error);
        }
        std::string body(std::min(bodySize, buffer.size()), '\0');
        buffer.sgetn(body.data(), static_cast<std::streamsize>(body.size()));
        int number = 0;
        {
            const std::lock_guard lock(m_mutex);
            number = static_cast<int>(m_requests.size());
            m_requests.push_back(request + body);
        }
        for (const auto &act : m_script(request + body, number)) {
            if (!perform(socket, act)) {
                return;
            }
        }
    }
}

bool ScriptedTarget::perform(tcp::socket &socket, const TargetAct &act)
{
    asio::error_code error;
    switch (act.kind) {
    case TargetAct::Kind::Send:
        asio::write(socket, asio::buffer(act.bytes), error);
        return !error;
    case TargetAct::Kind::Wait:
        std::this_thread::sleep_for(act.pause);
        return true;
    case TargetAct::Kind::Close:
        socket.close(error);
        return false;
    case TargetAct::Kind::Reset:
        socket.set_option(asio::socket_base::linger(true, 0), error);
        socket.close(error);
        return false;
    case TargetAct::Kind::AwaitClose: {
        char byte = 0;
        asio::read(socket, asio::buffer(&byte, 1), error);
        m_resetByPeer += error == asio::error::connection_reset ? 1 : 0;
        ++m_closedByPeer;
        return false;
    }
    case TargetAct::Kind::Crash:
        crash();
        return false;
    }
    return false;
}

void ScriptedTarget::crash()
{
    const std::lock_guard lock(m_mutex);
    m_hasCrashed = true;
    m_isStopping = true;
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    for (const int connection : m_open) {
        ::shutdown(connection, SHUT_RDWR);
    }
}

bool ScriptedTarget::hasCrashed() const
{
    return m_hasCrashed;
}

std::string headerIn(const std::string &request, const std::string &name)
{
    const auto at = request.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return {};
    }
    const auto begin = at + name.size() + 4;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

std::string answerTo(const std::string &request, const std::string &body, int status, const std::string &furtherHeaders)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Heatherridge-Request-Id: "
        + headerIn(request, "X-Heatherridge-Request-Id") + "\r\nX-Heatherridge-Response-Signature: s\r\n"
        + furtherHeaders + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace Heatherridge
