#include "decisions/retryfleet.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Heatherridge
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds Step{50};
constexpr int StepsPerSecond = 20;

} // namespace

ShareAssignment ShareLogModel::join(const std::string &member, milliseconds lease, SteadyTime now)
{
    const auto memberCount = m_members.size();
    std::erase_if(m_members, [now](const auto &entry) { return entry.second <= now; });
    std::erase_if(m_owners, [this](const auto &entry) { return !m_members.contains(entry.second); });
    m_members[member] = now + lease;
    m_generation += m_members.size() == memberCount ? 0 : 1;
    const auto target = targetOf(member);
    std::erase_if(m_owners, [&](const auto &entry) { return entry.second == member && !target.contains(entry.first); });
    ShareAssignment assignment{.generation = m_generation};
    for (const int partition : target) {
        if (m_owners.try_emplace(partition, member).first->second == member) {
            assignment.partitions.insert(partition);
        }
    }
    return assignment;
}

void ShareLogModel::leave(const std::string &member)
{
    m_members.erase(member);
}

std::set<int> ShareLogModel::targetOf(const std::string &member) const
{
    const auto position = static_cast<int>(std::distance(m_members.begin(), m_members.find(member)));
    const auto count = static_cast<int>(m_members.size());
    std::set<int> target;
    for (int partition = position; partition < PartitionCount; partition += count) {
        target.insert(partition);
    }
    return target;
}

class RetryFleet::Gateway final : public ShareLog
{
public:
    Gateway(RetryFleet &fleet, int number)
        : m_fleet(fleet)
        , m_number(number)
        , m_clockOffset(milliseconds(fleet.m_random.below(1'000)))
    {
    }

    void start()
    {
        ++m_runCount;
        m_workShare.emplace(*this,
                            WorkShare::Options{.member = std::to_string(m_number) + "-" + std::to_string(m_runCount),
                                               .partitionCount = ShareLogModel::PartitionCount});
        const auto &options = m_fleet.m_options;
        m_slackShare.emplace(SlackShareOptions{.window = options.window, .start = now()});
        m_budget.emplace(
            FleetRetryBudgetOptions{.share = options.share, .slack = options.slack, .window = options.window},
            *m_slackShare);
    }

    void end()
    {
        m_workShare.reset();
        m_budget.reset();
    }

    bool isRunning() const
    {
        return m_budget.has_value();
    }

    void leaveLog()
    {
        if (m_workShare) {
            m_workShare->leave();
        }
    }

    void tick()
    {
        m_workShare->tick(now());
        m_slackShare->setPartitions(m_workShare->ownedPartitions(), now());
    }

    void recordRequest()
    {
        m_budget->recordRequest(now());
    }

    bool tryRetry()
    {
        return m_budget->tryTake(now());
    }

    void join(const std::string &member, milliseconds lease, std::uint64_t,
              std::function<void(Result<ShareAssignment>)> done) override
    {
        if (isRejected || m_fleet.m_isLogAway) {
            done(Error{.kind = ErrorKind::PlatformUnavailable});
            return;
        }
        done(m_fleet.m_log.join(member, lease, SteadyTime(m_fleet.m_elapsed)));
    }

    void leave(const std::string &member) override
    {
        if (!isRejected && !m_fleet.m_isLogAway) {
            m_fleet.m_log.leave(member);
        }
    }

    bool isRejected = false;

private:
    SteadyTime now() const
    {
        return SteadyTime(m_fleet.m_elapsed + m_clockOffset);
    }

    RetryFleet &m_fleet;
    int m_number;
    milliseconds m_clockOffset;
    int m_runCount = 0;
    std::optional<WorkShare> m_workShare;
    std::optional<SlackShare> m_slackShare;
    std::optional<FleetRetryBudget> m_budget;
};

RetryFleet::RetryFleet(const Options &options)
    : m_options(options)
    , m_random(options.seed)
{
    for (int number = 0; number < options.gateways; ++number) {
        m_gateways.push_back(std::make_unique<Gateway>(*this, number));
        m_gateways.back()->start();
    }
}

RetryFleet::~RetryFleet() = default;

void RetryFleet::at(milliseconds time, std::function<void()> action)
{
    m_actions.emplace(time, std::move(action));
}

void RetryFleet::setFailing(bool isFailing)
{
    m_isFailing = isFailing;
}

void RetryFleet::setLogAway(bool isAway)
{
    m_isLogAway = isAway;
}

void RetryFleet::setRejected(int gateway, bool isRejected)
{
    m_gateways.at(gateway)->isRejected = isRejected;
}

void RetryFleet::kill(int gateway, milliseconds downTime)
{
    auto &ended = *m_gateways.at(gateway);
    if (!ended.isRunning()) {
        return;
    }
    ended.end();
    at(m_elapsed + downTime, [&ended] { ended.start(); });
}

void RetryFleet::stop(int gateway, milliseconds downTime)
{
    m_gateways.at(gateway)->leaveLog();
    kill(gateway, downTime);
}

void RetryFleet::run(milliseconds duration)
{
    const auto end = m_elapsed + duration;
    while (m_elapsed < end) {
        while (!m_actions.empty() && m_actions.begin()->first <= m_elapsed) {
            const auto action = m_actions.extract(m_actions.begin());
            action.mapped()();
        }
        step();
        m_elapsed += Step;
    }
}

void RetryFleet::step()
{
    int requests = 0;
    int retries = 0;
    for (const auto &gateway : m_gateways) {
        if (gateway->isRunning()) {
            gateway->tick();
        }
        const double expected = m_options.requestsPerSecond / StepsPerSecond;
        const int arrived = static_cast<int>(std::floor(expected + m_random.fraction()));
        requests += arrived; // the limit counts what callers send, also to a gateway that is down
        if (!gateway->isRunning()) {
            continue;
        }
        for (int request = 0; request < arrived; ++request) {
            gateway->recordRequest();
            if (!m_isFailing || m_random.fraction() >= m_options.failingFraction) {
                continue;
            }
            for (int retry = 0; retry < m_options.maxRetries; ++retry) {
                ++(gateway->tryRetry() ? retries : m_denied);
            }
        }
    }
    m_requestsByStep.push_back(requests);
    m_retriesByStep.push_back(retries);
}

int RetryFleet::retries() const
{
    return std::accumulate(m_retriesByStep.begin(), m_retriesByStep.end(), 0);
}

int RetryFleet::deniedRetries() const
{
    return m_denied;
}

double RetryFleet::worstExcess() const
{
    const auto steps = static_cast<std::ptrdiff_t>(m_retriesByStep.size());
    const auto window = static_cast<std::ptrdiff_t>(m_options.window.count() * StepsPerSecond);
    const auto sum = [steps](const std::vector<int> &counts, std::ptrdiff_t from, std::ptrdiff_t to) {
        return std::accumulate(counts.begin() + std::clamp<std::ptrdiff_t>(from, 0, steps),
                               counts.begin() + std::clamp<std::ptrdiff_t>(to, 0, steps), 0);
    };
    double worst = -m_options.slack;
    for (std::ptrdiff_t from = 0; from < steps; ++from) {
        const auto requests =
            std::max({sum(m_requestsByStep, from, from + window), sum(m_requestsByStep, from - window, from),
                      sum(m_requestsByStep, from - window / 2, from + window / 2)});
        const auto allowed = m_options.share * requests + m_options.slack;
        worst = std::max(worst, sum(m_retriesByStep, from, from + window) - allowed);
    }
    return worst;
}

} // namespace Heatherridge
