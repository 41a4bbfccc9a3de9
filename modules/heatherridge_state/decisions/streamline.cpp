#include "heatherridge_state/decisions/streamline.h"

#include <algorithm>
#include <tuple>

namespace Heatherridge
{

namespace
{

enum class Rank {
    Begun,
    Timely,
    Late,
};

Rank rankOf(const WaitingStream &stream, SteadyTime now)
{
    if (stream.isBegun) {
        return Rank::Begun;
    }
    return stream.onTimeUntil >= now ? Rank::Timely : Rank::Late;
}

} // namespace

void StreamLine::put(const WaitingStream &stream)
{
    m_streams.insert_or_assign(stream.number, stream);
}

void StreamLine::remove(std::uint64_t number)
{
    m_streams.erase(number);
}

bool StreamLine::isEmpty() const
{
    return m_streams.empty();
}

bool StreamLine::hasTimely(const ServiceName &service, SteadyTime now) const
{
    return std::any_of(m_streams.begin(), m_streams.end(), [&](const auto &entry) {
        return entry.second.service == service && rankOf(entry.second, now) == Rank::Timely;
    });
}

std::vector<WaitingStream> StreamLine::order(SteadyTime now) const
{
    std::vector<WaitingStream> streams;
    streams.reserve(m_streams.size());
    for (const auto &[number, stream] : m_streams) {
        streams.push_back(stream);
    }
    const auto key = [now](const WaitingStream &stream) {
        const auto rank = rankOf(stream, now);
        const auto urgency = rank == Rank::Timely ? stream.onTimeUntil : SteadyTime{};
        return std::tuple(rank, urgency, stream.number);
    };
    std::sort(streams.begin(), streams.end(), [&key](const auto &a, const auto &b) { return key(a) < key(b); });
    return streams;
}

} // namespace Heatherridge
