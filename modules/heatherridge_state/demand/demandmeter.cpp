#include "heatherridge_state/demand/demandmeter.h"

#include "heatherridge_state/demand/busiestworkspaces.h"
#include "heatherridge_state/demand/decayingrate.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace Heatherridge
{

namespace
{

/** Lower rates count as none: one arrival is forgotten after 7 s. */
constexpr double MinPerSecond = 1e-3;

RankDemand limited(const RankDemand &demand)
{
    return {.arrivalsPerSecond = std::min(demand.arrivalsPerSecond, MaxDemandValue),
            .waiting = std::min(demand.waiting, MaxDemandValue),
            .inProgress = std::min(demand.inProgress, MaxDemandValue)};
}

/** Returns the streams that @p demand has now or within a second, for comparing services. */
double sizeOf(const ServiceDemand &demand)
{
    double size = 0;
    for (const auto &[priority, rank] : demand.ranks) {
        size += rank.arrivalsPerSecond + rank.waiting + rank.inProgress;
    }
    return size;
}

} // namespace

/** Counts and rates of one service. */
class DemandMeter::ServiceMeter
{
public:
    void recordArrival(int priority, const WorkspaceName &workspace, SteadyTime now)
    {
        auto &rank = m_ranks[priority];
        ++rank.open;
        rank.arrivals.record(now);
        if (!workspace.isEmpty()) {
            ++m_workspaces[workspace].open;
            m_busiest.recordArrival(workspace, now);
        }
    }

    /** Moves a stream of @p priority and @p workspace between two states. */
    void recordChange(int priority, const WorkspaceName &workspace, Stream::State from, Stream::State to)
    {
        auto &rank = m_ranks.at(priority);
        rank.waiting += (to == Stream::State::Waiting) - (from == Stream::State::Waiting);
        rank.inProgress += (to == Stream::State::InProgress) - (from == Stream::State::InProgress);
        if (!workspace.isEmpty()) {
            m_workspaces.at(workspace).inFlight += (to != Stream::State::Idle) - (from != Stream::State::Idle);
        }
    }

    /** Ends a stream that is counted as neither waiting nor in progress. */
    void recordEnd(int priority, const WorkspaceName &workspace)
    {
        --m_ranks.at(priority).open;
        const auto found = m_workspaces.find(workspace);
        if (found != m_workspaces.end() && --found->second.open == 0) {
            m_workspaces.erase(found);
        }
    }

    bool isIdle(SteadyTime now) const
    {
        return std::all_of(m_ranks.begin(), m_ranks.end(), [now](const auto &entry) {
            return entry.second.open == 0 && entry.second.arrivals.perSecond(now) < MinPerSecond;
        });
    }

    ServiceDemand demand(const ServiceName &service, SteadyTime now) const
    {
        ServiceDemand demand{.service = service};
        for (const auto &[priority, rank] : m_ranks) {
            const double perSecond = rank.arrivals.perSecond(now);
            if (rank.open == 0 && perSecond < MinPerSecond) {
                continue;
            }
            const auto lowest = demand.ranks.size() < MaxDemandRanks ? priority : demand.ranks.rbegin()->first;
            auto &stated = demand.ranks[lowest];
            stated = limited({.arrivalsPerSecond = stated.arrivalsPerSecond + perSecond,
                              .waiting = stated.waiting + rank.waiting,
                              .inProgress = stated.inProgress + rank.inProgress});
        }
        for (auto &rate : m_busiest.busiest(MaxDemandWorkspaces, now)) {
            const auto found = m_workspaces.find(rate.workspace);
            const double inFlight = found == m_workspaces.end() ? 0 : found->second.inFlight;
            demand.workspaces.push_back({.workspace = std::move(rate.workspace),
                                         .arrivalsPerSecond = std::min(rate.arrivalsPerSecond, MaxDemandValue),
                                         .inFlight = std::min(inFlight, MaxDemandValue)});
        }
        return demand;
    }

private:
    struct RankMeter
    {
        DecayingRate arrivals{};
        int open = 0; ///< streams that have not ended
        int waiting = 0;
        int inProgress = 0;
    };

    struct WorkspaceCount
    {
        int open = 0;
        int inFlight = 0;
    };

    std::map<int, RankMeter> m_ranks;
    std::unordered_map<WorkspaceName, WorkspaceCount> m_workspaces; ///< those with open streams
    BusiestWorkspaces m_busiest;
};

DemandMeter::Stream::Stream(std::shared_ptr<ServiceMeter> meter, int priority, WorkspaceName workspace)
    : m_meter(std::move(meter))
    , m_priority(priority)
    , m_workspace(std::move(workspace))
{
}

DemandMeter::Stream::~Stream()
{
    end();
}

DemandMeter::Stream::Stream(Stream &&other) noexcept
    : m_meter(std::move(other.m_meter))
    , m_priority(other.m_priority)
    , m_workspace(std::move(other.m_workspace))
    , m_state(other.m_state)
{
}

DemandMeter::Stream &DemandMeter::Stream::operator=(Stream &&other) noexcept
{
    if (this != &other) {
        end();
        m_meter = std::move(other.m_meter);
        m_priority = other.m_priority;
        m_workspace = std::move(other.m_workspace);
        m_state = other.m_state;
    }
    return *this;
}

void DemandMeter::Stream::setWaiting()
{
    setState(State::Waiting);
}

void DemandMeter::Stream::setInProgress()
{
    setState(State::InProgress);
}

void DemandMeter::Stream::setIdle()
{
    setState(State::Idle);
}

void DemandMeter::Stream::setState(State state)
{
    if (m_meter && m_state != state) {
        m_meter->recordChange(m_priority, m_workspace, m_state, state);
        m_state = state;
    }
}

void DemandMeter::Stream::end()
{
    if (m_meter) {
        setIdle();
        m_meter->recordEnd(m_priority, m_workspace);
        m_meter.reset();
    }
}

DemandMeter::DemandMeter() = default;

DemandMeter::~DemandMeter() = default;

DemandMeter::Stream DemandMeter::recordArrival(const StreamClass &streamClass, SteadyTime now)
{
    auto &meter = m_services[streamClass.service];
    if (!meter) {
        // Services that a former configuration named are dropped when a new one appears.
        std::erase_if(m_services, [now](const auto &entry) { return entry.second && entry.second->isIdle(now); });
        meter = std::make_shared<ServiceMeter>();
    }
    meter->recordArrival(streamClass.priority, streamClass.workspace, now);
    return {meter, streamClass.priority, streamClass.workspace};
}

std::vector<ServiceDemand> DemandMeter::demand(SteadyTime now) const
{
    std::vector<ServiceDemand> demand;
    for (const auto &[service, meter] : m_services) {
        if (!meter->isIdle(now)) {
            demand.push_back(meter->demand(service, now));
        }
    }
    if (demand.size() > MaxDemandServices) {
        std::stable_sort(demand.begin(), demand.end(),
                         [](const auto &a, const auto &b) { return sizeOf(a) > sizeOf(b); });
        demand.resize(MaxDemandServices);
    }
    return demand;
}

ServiceDemand DemandMeter::demandOf(const ServiceName &service, SteadyTime now) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? ServiceDemand{.service = service} : found->second->demand(service, now);
}

} // namespace Heatherridge
