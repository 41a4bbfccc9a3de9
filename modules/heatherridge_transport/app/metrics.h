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

/** A number that only grows. Any thread. */
class Counter
{
public:
    /** Adds @p amount. */
    void add(std::uint64_t amount = 1)
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }

    /** The sum so far. */
    std::uint64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value{0};
};

/** A number that goes up and down. Any thread. */
class Gauge
{
public:
    /** Sets the number. */
    void set(std::int64_t value)
    {
        m_value.store(value, std::memory_order_relaxed);
    }

    /** Adds @p amount, which may be negative. */
    void add(std::int64_t amount)
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }

    /** The number now. */
    std::int64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> m_value{0};
};

/** A distribution of durations (Boost.Histogram). Any thread. */
class DurationHistogram
{
public:
    DurationHistogram();
    ~DurationHistogram();

    DurationHistogram(const DurationHistogram &) = delete;
    DurationHistogram &operator=(const DurationHistogram &) = delete;

    /** Counts one duration. */
    void record(std::chrono::microseconds duration);

    /** Appends the buckets, the count and the sum in the text exposition format, as metric @p name. */
    void write(std::string &output, std::string_view name) const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

/**
 * All counters, gauges and distributions of a process, and their text exposition.
 *
 * The objects live as long as the registry; look one up once and keep the reference. Any thread.
 */
class Metrics
{
public:
    Metrics();
    ~Metrics();

    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /** The counter @p name with @p labels in the exposition's own form, as `kind="queue-full"`. */
    Counter &counter(const std::string &name, const std::string &labels = {});

    /** The gauge @p name with @p labels. */
    Gauge &gauge(const std::string &name, const std::string &labels = {});

    /** The distribution @p name. */
    DurationHistogram &histogram(const std::string &name);

    /** The counter of refusals and failures of @p kind; one exists for every kind from the start. */
    Counter &errors(ErrorKind kind);

    /** Everything in the text exposition format, sorted by name. */
    std::string exposition() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Heatherridge
