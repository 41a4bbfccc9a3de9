#pragma once

#include "heatherridge_state/heatherridge_state.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Heatherridge
{

/** A monotonically increasing counter. Thread-safe. */
class Counter
{
public:
    /** Adds @p amount. */
    void add(std::uint64_t amount = 1)
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }

    /** Returns the current total. */
    std::uint64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value{0};
};

/** A value that can increase and decrease. Thread-safe. */
class Gauge
{
public:
    /** Sets the value. */
    void set(std::int64_t value)
    {
        m_value.store(value, std::memory_order_relaxed);
    }

    /** Adds @p amount, which may be negative. */
    void add(std::int64_t amount)
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }

    /** Returns the current value. */
    std::int64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> m_value{0};
};

/** A histogram of durations (Boost.Histogram). Thread-safe. */
class DurationHistogram
{
public:
    DurationHistogram();
    ~DurationHistogram();

    DurationHistogram(const DurationHistogram &) = delete;
    DurationHistogram &operator=(const DurationHistogram &) = delete;

    /** Records one duration. */
    void record(std::chrono::microseconds duration);

    /** Appends the buckets, the count and the sum to @p output in the text exposition format, as metric @p name. */
    void write(std::string &output, std::string_view name) const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

/**
 * Registry of all counters, gauges and histograms of a process, with their text exposition.
 *
 * Returned references stay valid as long as the registry; look a metric up once and keep the reference. Thread-safe.
 */
class Metrics
{
public:
    Metrics();
    ~Metrics();

    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /** Returns the counter @p name with @p labels in exposition syntax, such as `kind="queue-full"`; creates it if
     * needed. */
    Counter &counter(const std::string &name, const std::string &labels = {});

    /** Returns the gauge @p name with @p labels; creates it if needed. */
    Gauge &gauge(const std::string &name, const std::string &labels = {});

    /** Returns the histogram @p name; creates it if needed. */
    DurationHistogram &histogram(const std::string &name);

    /** Returns the counter of refusals and failures of @p kind. The counters of all kinds exist from the start. */
    Counter &errors(ErrorKind kind);

    /** Returns all metrics in the text exposition format, sorted by name within each type, and those of the process. */
    std::string exposition() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Heatherridge
