#include "heatherridge_transport/app/metrics.h"

#include "heatherridge_transport/app/processhealth.h"

#include <boost/histogram.hpp>

#include <map>
#include <mutex>
#include <vector>

namespace Heatherridge
{

namespace
{

namespace histogram = boost::histogram;

/** Upper bucket bounds in seconds, chosen around the latencies promised to users (59 ms, 360 ms). */
const std::vector<double> BucketBoundsSeconds{0.0, 0.001, 0.002, 0.005, 0.01, 0.02, 0.04, 0.059, 0.1,
                                              0.2, 0.36,  0.5,   1,     2,    5,    10,   30,    60};

using ThreadSafeStorage = histogram::dense_storage<histogram::accumulators::thread_safe<std::uint64_t>>;
using Buckets =
    decltype(histogram::make_histogram_with(ThreadSafeStorage(), histogram::axis::variable<>(BucketBoundsSeconds)));

using SeriesKey = std::pair<std::string, std::string>;

void writeLine(std::string &output, const std::string &name, const std::string &labels, const std::string &value)
{
    output += name;
    if (!labels.empty()) {
        output += "{" + labels + "}";
    }
    output += " " + value + "\n";
}

template<typename Series>
void writeSeries(std::string &output, const Series &series, std::string_view type)
{
    std::string previousName;
    for (const auto &[key, value] : series) {
        if (key.first != previousName) {
            previousName = key.first;
            output += "# TYPE " + previousName + " " + std::string(type) + "\n";
        }
        writeLine(output, key.first, key.second, std::to_string(value->value()));
    }
}

} // namespace

class DurationHistogram::Implementation
{
public:
    Buckets buckets =
        histogram::make_histogram_with(ThreadSafeStorage(), histogram::axis::variable<>(BucketBoundsSeconds));
    std::atomic<std::uint64_t> sumMicroseconds{0};
};

DurationHistogram::DurationHistogram()
    : m_implementation(std::make_unique<Implementation>())
{
}

DurationHistogram::~DurationHistogram() = default;

void DurationHistogram::record(std::chrono::microseconds duration)
{
    m_implementation->buckets(std::chrono::duration<double>(duration).count());
    m_implementation->sumMicroseconds.fetch_add(static_cast<std::uint64_t>(std::max<std::int64_t>(0, duration.count())),
                                                std::memory_order_relaxed);
}

void DurationHistogram::write(std::string &output, std::string_view name) const
{
    const std::string base(name);
    output += "# TYPE " + base + " histogram\n";
    std::uint64_t total = 0;
    for (auto &&bucket : histogram::indexed(m_implementation->buckets)) {
        total += static_cast<std::uint64_t>(*bucket);
        writeLine(output, base + "_bucket", "le=\"" + std::to_string(bucket.bin().upper()) + "\"",
                  std::to_string(total));
    }
    total += static_cast<std::uint64_t>(m_implementation->buckets.at(static_cast<int>(BucketBoundsSeconds.size()) - 1));
    writeLine(output, base + "_bucket", "le=\"+Inf\"", std::to_string(total));
    writeLine(output, base + "_count", {}, std::to_string(total));
    const auto sum = static_cast<double>(m_implementation->sumMicroseconds.load(std::memory_order_relaxed)) / 1e6;
    writeLine(output, base + "_sum", {}, std::to_string(sum));
}

class Metrics::Implementation
{
public:
    template<typename Series>
    static auto &find(Series &series, const SeriesKey &key)
    {
        auto &entry = series[key];
        if (!entry) {
            entry = std::make_unique<typename Series::mapped_type::element_type>();
        }
        return *entry;
    }

    mutable std::mutex mutex{};
    std::map<SeriesKey, std::unique_ptr<Counter>> counters{};
    std::map<SeriesKey, std::unique_ptr<Gauge>> gauges{};
    std::map<SeriesKey, std::unique_ptr<DurationHistogram>> histograms{};
    std::vector<Counter *> errors{};
};

Metrics::Metrics()
    : m_implementation(std::make_unique<Implementation>())
{
    for (const auto &answer : allErrorDescriptors()) {
        m_implementation->errors.push_back(
            &counter("heatherridge_errors_total", "kind=\"" + std::string(answer.name) + "\""));
    }
}

Metrics::~Metrics() = default;

Counter &Metrics::counter(const std::string &name, const std::string &labels)
{
    const std::lock_guard lock(m_implementation->mutex);
    return Implementation::find(m_implementation->counters, {name, labels});
}

Gauge &Metrics::gauge(const std::string &name, const std::string &labels)
{
    const std::lock_guard lock(m_implementation->mutex);
    return Implementation::find(m_implementation->gauges, {name, labels});
}

DurationHistogram &Metrics::histogram(const std::string &name)
{
    const std::lock_guard lock(m_implementation->mutex);
    return Implementation::find(m_implementation->histograms, {name, {}});
}

Counter &Metrics::errors(ErrorKind kind)
{
    return *m_implementation->errors.at(static_cast<std::size_t>(kind));
}

std::string Metrics::exposition() const
{
    const std::lock_guard lock(m_implementation->mutex);
    std::string text;
    writeSeries(text, m_implementation->counters, "counter");
    writeSeries(text, m_implementation->gauges, "gauge");
    for (const auto &[key, value] : m_implementation->histograms) {
        value->write(text, key.first);
    }
    writeProcessMetrics(text);
    return text;
}

} // namespace Heatherridge
