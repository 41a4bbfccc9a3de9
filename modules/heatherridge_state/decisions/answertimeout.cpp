#include "heatherridge_state/decisions/answertimeout.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

constexpr RunningEstimateOptions RoundTripGains{.meanGain = 0.125, .deviationGain = 0.25};
/** Number of deviations above the mean round trip. */
constexpr double DeviationFactor = 4;
constexpr double BackoffFactor = 2;
constexpr double MaxBackoffFactor = 64;

} // namespace

AnswerTimeout::AnswerTimeout(Options options)
    : m_options(options)
    , m_roundTrip(RoundTripGains)
{
}

std::chrono::milliseconds AnswerTimeout::current() const
{
    const auto mean = m_roundTrip.mean();
    if (!mean) {
        return m_options.maximum;
    }
    const auto timeout = (*mean + m_roundTrip.deviation() * DeviationFactor) * m_backoff;
    return std::clamp(std::chrono::ceil<std::chrono::milliseconds>(timeout), m_options.minimum, m_options.maximum);
}

void AnswerTimeout::recordAnswer(RunningEstimate::Milliseconds roundTrip)
{
    m_backoff = 1;
    m_roundTrip.record(roundTrip);
}

void AnswerTimeout::recordTimeout()
{
    m_backoff = std::min(m_backoff * BackoffFactor, MaxBackoffFactor);
}

} // namespace Heatherridge
