#include "heatherridge_state/decisions/streamqueue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Heatherridge
{

namespace
{

enum class AdmissionOrder {
    Started,
    Timely,
    Late,
};

AdmissionOrder admissionOrderOf(const WaitingStream &stream, SteadyTime now)
{
    if (stream.hasStarted) {
        return AdmissionOrder::Started;
    }
    return stream.onTimeUntil >= now ? AdmissionOrder::Timely : AdmissionOrder::Late;
}

/** Streams with a lower value are admitted first and refused last, as far as they can be on time equally. */
std::tuple<int, bool> importanceOf(const WaitingStream &stream)
{
    return {stream.rank, stream.isOverShare};
}

} // namespace

void StreamQueue::enqueue(const WaitingStream &stream, SteadyTime now)
{
    const auto streamClass = classOf(stream, now);
    if (countWaiting(streamClass, now) == 0) {
        m_admissionRates[streamClass].lastEvent = now;
    }
    m_streams.insert_or_assign(stream.number, stream);
}

void StreamQueue::remove(std::uint64_t number)
{
    m_streams.erase(number);
}

void StreamQueue::admit(std::uint64_t number, SteadyTime now)
{
    const auto found = m_streams.find(number);
    if (found == m_streams.end()) {
        return;
    }
    auto &rate = m_admissionRates[classOf(found->second, now)];
    rate.interval.record(now - std::exchange(rate.lastEvent, now));
    m_streams.erase(found);
}

std::chrono::milliseconds StreamQueue::expectedWait(const WaitingStream &stream, SteadyTime now) const
{
    const auto streamClass = classOf(stream, now);
    const auto rate = m_admissionRates.find(streamClass);
    const auto interval = rate == m_admissionRates.end() ? std::nullopt : rate->second.interval.mean();
    const auto ahead = std::count_if(m_streams.begin(), m_streams.end(), [&](const auto &entry) {
        const auto &other = entry.second;
        return classOf(other, now) == streamClass && (stream.isOverShare || !other.isOverShare);
    });
    if (!interval || ahead == 0) {
        return std::chrono::milliseconds(0);
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(*interval * static_cast<double>(ahead));
}

StreamQueue::StreamClass StreamQueue::classOf(const WaitingStream &stream, SteadyTime now)
{
    return {.service = stream.service, .isLate = admissionOrderOf(stream, now) == AdmissionOrder::Late};
}

std::ptrdiff_t StreamQueue::countWaiting(const StreamClass &streamClass, SteadyTime now) const
{
    return std::count_if(m_streams.begin(), m_streams.end(),
                         [&](const auto &entry) { return classOf(entry.second, now) == streamClass; });
}

bool StreamQueue::isEmpty() const
{
    return m_streams.empty();
}

bool StreamQueue::hasOnTimeStream(const WaitingStream &stream, SteadyTime now) const
{
    return std::any_of(m_streams.begin(), m_streams.end(), [&](const auto &entry) {
        const auto &waiting = entry.second;
        return waiting.service == stream.service && importanceOf(waiting) <= importanceOf(stream)
            && admissionOrderOf(waiting, now) == AdmissionOrder::Timely;
    });
}

double StreamQueue::partBehind(const WaitingStream &stream) const
{
    int ofRank = 0;
    int behind = 0;
    for (const auto &[number, waiting] : m_streams) {
        if (waiting.service == stream.service && waiting.rank == stream.rank) {
            ++ofRank;
            behind += !stream.isOverShare && waiting.isOverShare ? 1 : 0;
        }
    }
    return ofRank > 0 ? static_cast<double>(behind) / ofRank : 0;
}

std::optional<std::uint64_t> StreamQueue::streamToRefuseInsteadOf(const WaitingStream &stream) const
{
    const WaitingStream *last = nullptr;
    for (const auto &[number, waiting] : m_streams) {
        if (waiting.service == stream.service && !waiting.hasStarted && importanceOf(waiting) > importanceOf(stream)
            && (last == nullptr || importanceOf(waiting) >= importanceOf(*last))) {
            last = &waiting;
        }
    }
    return last == nullptr ? std::nullopt : std::optional(last->number);
}

std::vector<WaitingStream> StreamQueue::inAdmissionOrder(SteadyTime now) const
{
    std::vector<WaitingStream> streams;
    streams.reserve(m_streams.size());
    for (const auto &[number, stream] : m_streams) {
        streams.push_back(stream);
    }
    const auto key = [now](const WaitingStream &stream) {
        const auto admissionOrder = admissionOrderOf(stream, now);
        const auto urgency = admissionOrder == AdmissionOrder::Timely ? stream.onTimeUntil : SteadyTime{};
        const int rank = admissionOrder == AdmissionOrder::Started ? 0 : stream.rank;
        const bool isOverShare = admissionOrder != AdmissionOrder::Started && stream.isOverShare;
        return std::tuple(admissionOrder, rank, isOverShare, urgency, stream.number);
    };
    std::sort(streams.begin(), streams.end(), [&key](const auto &a, const auto &b) { return key(a) < key(b); });
    return streams;
}

} // namespace Heatherridge
