#include "heatherridge_state/decisions/runrecord.h"

namespace Heatherridge
{

namespace
{

constexpr double HighShare = 0.75;
constexpr double CriticalShare = 0.9;

} // namespace

UsageLevel usageLevel(std::uint64_t used, std::uint64_t limit)
{
    if (limit == 0) {
        return UsageLevel::Ordinary;
    }
    const auto share = static_cast<double>(used) / static_cast<double>(limit);
    if (share >= CriticalShare) {
        return UsageLevel::Critical;
    }
    return share >= HighShare ? UsageLevel::High : UsageLevel::Ordinary;
}

EndCause probableCause(const RunRecord &record)
{
    const auto memory = usageLevel(record.use.peakMemory, record.use.memoryLimit);
    const auto descriptors = usageLevel(record.use.descriptors, record.use.descriptorLimit);
    const auto causeAt = [&](UsageLevel level) {
        if (memory == level) {
            return EndCause::Memory;
        }
        return descriptors == level ? EndCause::Descriptors : EndCause::Unknown;
    };
    if (const auto cause = causeAt(UsageLevel::Critical); cause != EndCause::Unknown) {
        return cause;
    }
    return record.handlerFailures > 0 ? EndCause::Failure : causeAt(UsageLevel::High);
}

std::string_view toString(RunState state)
{
    switch (state) {
    case RunState::Running:
        return "running";
    case RunState::Stopping:
        return "stopping";
    case RunState::Ended:
        return "ended";
    }
    return "unknown";
}

std::string_view toString(EndCause cause)
{
    switch (cause) {
    case EndCause::Memory:
        return "memory";
    case EndCause::Descriptors:
        return "descriptors";
    case EndCause::Failure:
        return "failure";
    case EndCause::Unknown:
        break;
    }
    return "unknown";
}

} // namespace Heatherridge
