#include "heatherridge_state/decisions/streamadmission.h"

#include <algorithm>
#include <map>

namespace Heatherridge
{

QueueClass classifyByRank(const WaitingStream &stream, const RankAdmission &admission, SteadyTime now)
{
    if (stream.hasStarted || (admission.isHighest(stream.rank) && stream.onTimeUntil >= now)) {
        return QueueClass::First;
    }
    return admission.hasAssuredStream(stream.rank) ? QueueClass::Assured : QueueClass::InOrder;
}

void admitInOrder(const std::vector<WaitingStream> &streams,
                  const std::function<QueueClass(const WaitingStream &)> &classify,
                  const std::function<bool(const WaitingStream &)> &attempt)
{
    std::map<ServiceName, int> fullRanks; ///< highest rank of each service that has found no capacity
    const auto admit = [&](const WaitingStream &stream, QueueClass queueClass) {
        const auto full = fullRanks.find(stream.service);
        if (full != fullRanks.end() && stream.rank >= full->second && queueClass != QueueClass::Assured) {
            return;
        }
        if (!attempt(stream) && !stream.hasStarted) {
            auto &rank = fullRanks.try_emplace(stream.service, stream.rank).first->second;
            rank = std::min(rank, stream.rank);
        }
    };
    std::vector<WaitingStream> rest;
    for (const auto &stream : streams) {
        const auto queueClass = classify(stream);
        if (queueClass == QueueClass::InOrder) {
            rest.push_back(stream);
        } else {
            admit(stream, queueClass);
        }
    }
    for (const auto &stream : rest) {
        admit(stream, QueueClass::InOrder);
    }
}

} // namespace Heatherridge
