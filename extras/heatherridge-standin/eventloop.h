#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <thread>

namespace Heatherridge
{

/**
 * One thread on which all state of a stand-in is read and changed, so that none of it needs a lock.
 *
 * Tasks may be given before start(); none runs until then.
 */
class EventLoop
{
public:
    EventLoop();
    /** Stops, if stop() was not called. */
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /** Starts the thread. */
    void start();

    /** Runs @p task on the loop's thread. Any thread may call. */
    void post(std::function<void()> task);

    /** Runs @p task on the loop's thread once @p delay has passed; tasks still waiting at the end are dropped. Any
     * thread may call. */
    void after(std::chrono::microseconds delay, std::function<void()> task);

    /** The loop, for what needs to be constructed on it. */
    asio::io_context &context();

    /** Ends the thread; waiting tasks are dropped. Any thread but the loop's own may call. */
    void stop();

private:
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

} // namespace Heatherridge
