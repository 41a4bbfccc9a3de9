#pragma once

#include <chrono>
#include <functional>
#include <memory>

namespace asio
{
class io_context;
}

namespace Heatherridge
{

/**
 * A thread that runs one Asio I/O context until stop() is called.
 *
 * A process has one loop for control state and one or more for traffic. Objects that belong to a loop are accessed only
 * on its thread; other threads use post().
 *
 * A handler that throws is reported by reportHandlerFailure() and the loop goes on. A task of runAndWait() throws to
 * its caller instead.
 */
class EventLoop
{
public:
    EventLoop();
    /** Stops the loop if stop() has not been called. */
    ~EventLoop();

    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /** Starts the thread. */
    void start();

    /** Stops the loop after the current handler returns and joins the thread. Must not be called on the loop's thread.
     */
    void stop();

    /** Queues @p task to run on the loop's thread. May be called from any thread. */
    void post(std::function<void()> task);

    /** Runs @p task on the loop's thread every @p period until the loop stops. May be called from any thread. */
    void every(std::chrono::milliseconds period, std::function<void()> task);

    /** Runs @p task on the loop's thread after @p delay, unless the loop stops first. May be called from any thread. */
    void after(std::chrono::microseconds delay, std::function<void()> task);

    /** Runs @p task on the loop's thread and blocks until it returns. Must not be called on the loop's thread. */
    void runAndWait(const std::function<void()> &task);

    /** Returns the I/O context, to construct sockets and timers on. */
    asio::io_context &context();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Heatherridge
