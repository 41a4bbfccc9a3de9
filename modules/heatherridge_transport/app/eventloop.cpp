#include "heatherridge_transport/app/eventloop.h"

#include "heatherridge_transport/app/processhealth.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <exception>
#include <future>
#include <thread>

namespace Heatherridge
{

namespace
{

/** A timer that reschedules itself after each run. Its pending wait keeps it alive. */
class RepeatingTimer : public std::enable_shared_from_this<RepeatingTimer>
{
public:
    RepeatingTimer(asio::io_context &context, std::chrono::milliseconds period, std::function<void()> task)
        : m_timer(context)
        , m_period(period)
        , m_task(std::move(task))
    {
    }

    void schedule()
    {
        m_timer.expires_after(m_period);
        m_timer.async_wait([self = shared_from_this()](const asio::error_code &error) {
            if (!error) {
                self->schedule(); // first, as the task may throw
                self->m_task();
            }
        });
    }

private:
    asio::steady_timer m_timer;
    std::chrono::milliseconds m_period;
    std::function<void()> m_task;
};

} // namespace

class EventLoop::Implementation
{
public:
    /** Runs handlers until the loop is stopped, also after one that throws: it concerns one connection or call, and the
     * process serves many others. */
    void run()
    {
        useSignalStack();
        while (true) {
            try {
                context.run();
                return;
            } catch (const std::exception &exception) {
                reportHandlerFailure(exception);
            }
        }
    }

    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard = asio::make_work_guard(context);
    std::thread thread{};
};

EventLoop::EventLoop()
    : m_implementation(std::make_unique<Implementation>())
{
}

EventLoop::~EventLoop()
{
    stop();
}

void EventLoop::start()
{
    m_implementation->thread = std::thread([this] { m_implementation->run(); });
}

void EventLoop::stop()
{
    m_implementation->context.stop();
    if (m_implementation->thread.joinable()) {
        m_implementation->thread.join();
    }
}

void EventLoop::post(std::function<void()> task)
{
    asio::post(m_implementation->context, std::move(task));
}

void EventLoop::every(std::chrono::milliseconds period, std::function<void()> task)
{
    auto timer = std::make_shared<RepeatingTimer>(m_implementation->context, period, std::move(task));
    post([timer] { timer->schedule(); });
}

void EventLoop::after(std::chrono::microseconds delay, std::function<void()> task)
{
    auto timer = std::make_shared<asio::steady_timer>(m_implementation->context, delay);
    timer->async_wait([timer, task = std::move(task)](const asio::error_code &error) {
        if (!error) {
            task();
        }
    });
}

void EventLoop::runAndWait(const std::function<void()> &task)
{
    std::promise<void> done;
    post([&task, &done] {
        try {
            task();
            done.set_value();
        } catch (...) {
            done.set_exception(std::current_exception());
        }
    });
    done.get_future().get();
}

asio::io_context &EventLoop::context()
{
    return m_implementation->context;
}

} // namespace Heatherridge
