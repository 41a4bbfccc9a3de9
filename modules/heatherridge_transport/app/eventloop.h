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
 * A thread that runs one Asio loop until stop().
 *
 * A process has one for control state and one or more for traffic; what belongs to a loop is touched on its thread
 * alone, and other threads reach it through post().
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

    /** Ends the loop after the handler that runs now and joins the thread. Not from the loop's own thread. */
    void stop();

    /** Runs @p task on the loop's thread. Any thread. */
    void post(std::function<void()> task);

    /** Runs @p task on the loop's thread every @p period until the loop stops. Any thread. */
    void every(std::chrono::milliseconds period, std::function<void()> task);

    /** Runs @p task on the loop's thread after @p delay, unless the loop stops before. Any thread. */
    void after(std::chrono::microseconds delay, std::function<void()> task);

    /** Runs @p task on the loop's thread and waits for it. Not from the loop's own thread. */
    void runAndWait(const std::function<void()> &task);

    /** The loop, for what needs to be constructed on it. */
    asio::io_context &context();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Heatherridge
