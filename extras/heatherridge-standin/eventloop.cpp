#include "eventloop.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace Heatherridge
{

EventLoop::EventLoop()
    : m_work(asio::make_work_guard(m_context))
{
}

EventLoop::~EventLoop()
{
    stop();
}

void EventLoop::start()
{
    m_thread = std::thread([this] { m_context.run(); });
}

asio::io_context &EventLoop::context()
{
    return m_context;
}

void EventLoop::post(std::function<void()> task)
{
    asio::post(m_context, std::move(task));
}

void EventLoop::after(std::chrono::microseconds delay, std::function<void()> task)
{
    if (delay.count() <= 0) {
        post(std::move(task));
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
    timer->async_wait([timer, task = std::move(task)](const asio::error_code &error) {
        if (!error) {
            task();
        }
    });
}

void EventLoop::stop()
{
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

} // namespace Heatherridge
