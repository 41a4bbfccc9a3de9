#include "decisions/promptpartmodel.h"

#include "heatherridge_protocol/crashreportcodec.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace Heatherridge
{

namespace
{

using std::chrono::milliseconds;
using namespace std::chrono_literals;
using Parts = std::vector<PromptPart>;

constexpr auto TimeStep = 10ms;
constexpr auto TickInterval = 100ms;
constexpr auto TimeToBegin = 150ms; ///< from the arrival at a target to the first event
constexpr auto TimeToSecondEvent = 50ms;
constexpr auto TimeToComplete = 1'500ms;
constexpr auto MaxWait = 3'000ms;
constexpr auto MaxDetection = 50ms; ///< of the death of a target by a gateway
constexpr auto StableWindow = 3'000ms;
constexpr auto AnsweredEarlier = 2'000ms; ///< the last sound request with a part before it crashes targets
constexpr std::size_t Slots = 12; ///< of a target
constexpr int MaxAttempts = 2;
constexpr std::uint64_t FirstPartBase = 1'000;
constexpr std::uint64_t MiddlePartBase = 10'000;
constexpr std::uint64_t PoisonBase = 100;
constexpr std::uint64_t FreshPartBase = 1'000'000;
constexpr std::size_t MiddleParts = 400;

struct Request
{
    std::optional<std::size_t> poison{}; ///< index
    Parts parts{};
    std::size_t gateway = 0;
    milliseconds arrived{};
    milliseconds sent{};
    int attempts = 0;
    bool isRetry = false; ///< of the caller
    bool isFirstAttempt = true;
    bool isSuspect = false;
    std::uint32_t progress = 0;
};

struct Target
{
    std::vector<Request> requests{};
};

/** A report that a gateway makes once it has detected the death. */
struct Detection
{
    milliseconds at{};
    std::size_t target = 0;
    Request request{};
};

struct Gateway
{
    std::unique_ptr<PromptPartSuspects> suspects{};
    std::deque<Request> waiting{};
    std::vector<PromptPartRecord> unsent{};
    std::multiset<std::size_t> suspectTargets{};
    std::size_t nextOffset = 0;
    milliseconds latency{};
    milliseconds start{};
};

struct LogEntry
{
    milliseconds at{};
    PromptPartRecord record{};
};

class Model
{
public:
    explicit Model(const PromptPartModelOptions &options)
        : m_options(options)
        , m_random(options.seed)
        , m_targets(options.targets)
        , m_openAt(options.targets / options.groupSize)
        , m_gateways(options.gateways)
        , m_shares(options.poisons.size())
    {
        m_result.poisons.resize(options.poisons.size());
        for (auto &gateway : m_gateways) {
            gateway.latency = between(options.minLogLatency, options.maxLogLatency);
            start(gateway);
        }
        if (options.lastGatewayStart) {
            m_gateways.back().start = *options.lastGatewayStart;
        }
    }

    PromptPartModelResult run()
    {
        for (; m_now < m_options.duration; m_now += TimeStep) {
            restart();
            arrive();
            crashForOtherReasons();
            serve();
            detect();
            for (std::size_t index = 0; index < m_gateways.size(); ++index) {
                if (m_gateways[index].start <= m_now) {
                    exchange(index);
                    send(index);
                }
            }
        }
        for (std::size_t index = 0; index < m_shares.size(); ++index) {
            m_result.poisons[index].soundShareBefore = m_shares[index].before.value();
            m_result.poisons[index].soundShareAfter = m_shares[index].after.value();
        }
        return m_result;
    }

private:
    struct Share
    {
        std::size_t begun = 0;
        std::size_t all = 0;

        double value() const
        {
            return all == 0 ? 1 : static_cast<double>(begun) / static_cast<double>(all);
        }
    };
    struct Shares
    {
        Share before{};
        Share after{};
    };

    SteadyTime time() const
    {
        return SteadyTime(1h) + m_now;
    }

    milliseconds between(milliseconds least, milliseconds most)
    {
        return least + milliseconds(m_random.below(static_cast<std::uint64_t>((most - least).count()) + 1));
    }

    void start(Gateway &gateway)
    {
        gateway.suspects =
            std::make_unique<PromptPartSuspects>(static_cast<Incarnation>(m_random.draw()), m_options.decision);
        gateway.waiting.clear();
        gateway.unsent.clear();
        gateway.suspectTargets.clear();
        gateway.nextOffset = 0;
    }

    void restart()
    {
        for (std::size_t index = 0; index < m_options.restarts.size(); ++index) {
            if (m_options.restarts[index] == m_now) {
                const auto restarted = index % m_gateways.size();
                start(m_gateways[restarted]);
                for (auto &target : m_targets) {
                    std::erase_if(target.requests, [&](const auto &request) { return request.gateway == restarted; });
                }
            }
        }
    }

    /** Returns how many events of a rate happen in this step. */
    std::size_t eventsAt(double rate)
    {
        const auto expected = rate * std::chrono::duration<double>(TimeStep).count();
        return static_cast<std::size_t>(expected) + (m_random.fraction() < std::fmod(expected, 1.0) ? 1 : 0);
    }

    PromptPart firstPart()
    {
        // The inverse of the sum of 1 / (k + 1), so that low ranks are drawn more often.
        const auto rank = std::pow(static_cast<double>(m_options.firstParts), m_random.fraction()) - 1;
        return static_cast<PromptPart>(FirstPartBase + static_cast<std::uint64_t>(rank));
    }

    PromptPart middlePart()
    {
        if (m_random.below(5) == 0) {
            return static_cast<PromptPart>(FreshPartBase + m_freshParts++);
        }
        return static_cast<PromptPart>(MiddlePartBase + m_random.below(MiddleParts));
    }

    std::size_t runningGateway()
    {
        for (;;) {
            const auto index = m_random.below(m_gateways.size());
            if (m_gateways[index].start <= m_now || m_gateways.size() == 1) {
                return index;
            }
        }
    }

    void accept(Request request)
    {
        request.gateway = runningGateway();
        request.arrived = m_now;
        m_gateways[request.gateway].waiting.push_back(std::move(request));
    }

    void arrive()
    {
        for (auto count = eventsAt(m_options.soundRate); count > 0; --count) {
            Request request{.parts = {firstPart(), middlePart(), middlePart()}};
            for (std::size_t index = 0; index < m_options.poisons.size(); ++index) {
                const auto &poison = m_options.poisons[index];
                if (poison.isAnsweredBefore && m_now + AnsweredEarlier < poison.period.from
                    && m_random.below(20) == 0) {
                    request.parts[1] = static_cast<PromptPart>(PoisonBase + index);
                }
            }
            accept(std::move(request));
        }
        for (std::size_t index = 0; index < m_options.poisons.size(); ++index) {
            const auto &poison = m_options.poisons[index];
            if (!poison.period.contains(m_now)) {
                continue;
            }
            for (auto count = eventsAt(poison.rate); count > 0; --count) {
                accept({.poison = index,
                        .parts = {static_cast<PromptPart>(FirstPartBase + poison.firstPart),
                                  static_cast<PromptPart>(PoisonBase + index), middlePart()}});
            }
        }
        while (!m_retries.empty() && m_retries.front().arrived <= m_now) {
            auto request = std::move(m_retries.front());
            m_retries.pop_front();
            accept(std::move(request));
        }
    }

    /** Ends a request without an answer; its caller retries once. */
    void fail(Request request)
    {
        countFirstAttempt(request, false);
        if (request.isRetry) {
            return;
        }
        request.isRetry = true;
        request.isFirstAttempt = false;
        request.attempts = 0;
        request.progress = 0;
        request.arrived = m_now + 300ms;
        m_retries.push_back(std::move(request));
    }

    void countFirstAttempt(Request &request, bool hasBegun)
    {
        if (!std::exchange(request.isFirstAttempt, false) || request.poison) {
            return;
        }
        for (std::size_t index = 0; index < m_options.poisons.size(); ++index) {
            const auto &poison = m_options.poisons[index];
            if (toNumber(request.parts[0]) != FirstPartBase + poison.firstPart) {
                continue;
            }
            const auto &result = m_result.poisons[index];
            const auto last = result.fifthDeath ? result.fifthDeath : m_lastPoisonDeath;
            if (request.arrived < poison.period.from && request.arrived > 2s) {
                m_shares[index].before.begun += hasBegun ? 1 : 0;
                ++m_shares[index].before.all;
            } else if (last && request.arrived > *last + 2 * StableWindow && request.arrived < poison.period.to) {
                m_shares[index].after.begun += hasBegun ? 1 : 0;
                ++m_shares[index].after.all;
            }
        }
    }

    void crashForOtherReasons()
    {
        std::set<std::size_t> crashed;
        for (const auto &crashes : m_options.crashes) {
            for (std::size_t index = 0; index < crashes.count; ++index) {
                if (m_now == crashes.at + crashes.interval * index) {
                    const auto isAll = crashes.interval == 0ms;
                    crashed.insert(isAll ? index % m_targets.size() : m_random.below(m_targets.size()));
                }
            }
        }
        crash(crashed);
    }

    /** Crashes @p targets at once and closes their groups. */
    void crash(const std::set<std::size_t> &targets)
    {
        for (const auto index : targets) {
            m_openAt[index / m_options.groupSize] = m_now + m_options.closedTime;
            for (auto &request : std::exchange(m_targets[index].requests, {})) {
                release(request, index);
                m_detections.push_back(
                    {.at = m_now + between(5ms, MaxDetection), .target = index, .request = std::move(request)});
            }
        }
        for (const auto index : targets) {
            const auto first = index / m_options.groupSize * m_options.groupSize;
            for (auto member = first; member < first + m_options.groupSize; ++member) {
                breakOff(member);
            }
        }
    }

    /** Ends the requests at a target whose group closes. */
    void breakOff(std::size_t index)
    {
        for (auto &request : std::exchange(m_targets[index].requests, {})) {
            release(request, index);
            if (request.progress == 0) {
                --request.attempts; // not run
                m_gateways[request.gateway].waiting.push_back(std::move(request));
            } else {
                fail(std::move(request));
            }
        }
    }

    void release(const Request &request, std::size_t target)
    {
        auto &suspectTargets = m_gateways[request.gateway].suspectTargets;
        if (const auto found = suspectTargets.find(target); request.isSuspect && found != suspectTargets.end()) {
            suspectTargets.erase(found);
        }
    }

    void detect()
    {
        for (auto &detection : std::exchange(m_detections, {})) {
            if (m_now < detection.at) {
                m_detections.push_back(std::move(detection));
                continue;
            }
            auto &request = detection.request;
            auto &gateway = m_gateways[request.gateway];
            handle(gateway,
                   gateway.suspects->recordTargetDeath(TargetName(std::to_string(detection.target)), request.parts,
                                                       request.progress, time()));
            if (request.progress == 0 && request.attempts < MaxAttempts) {
                gateway.waiting.push_back(std::move(request));
            } else {
                fail(std::move(request));
            }
        }
    }

    void serve()
    {
        for (std::size_t index = 0; index < m_targets.size(); ++index) {
            std::optional<std::size_t> poison;
            std::vector<Request> left;
            for (auto &request : std::exchange(m_targets[index].requests, {})) {
                const auto age = m_now - request.sent;
                if (request.poison && age >= TimeToBegin) {
                    poison = request.poison;
                } else {
                    answer(request, age, index);
                    if (age >= TimeToComplete) {
                        continue;
                    }
                }
                left.push_back(std::move(request));
            }
            m_targets[index].requests = std::move(left);
            if (poison) {
                recordPoisonDeath(*poison);
                crash({index});
            }
        }
    }

    void answer(Request &request, milliseconds age, std::size_t target)
    {
        auto &suspects = *m_gateways[request.gateway].suspects;
        if (request.progress == 0 && age >= TimeToBegin) {
            request.progress = 1;
            countFirstAttempt(request, true);
            release(request, target);
            request.isSuspect = false;
        }
        if (request.progress == 1 && age >= TimeToBegin + TimeToSecondEvent) {
            request.progress = 2;
            handle(m_gateways[request.gateway], suspects.recordAnswer(request.parts, 2, false, time()));
        }
    }

    void recordPoisonDeath(std::size_t index)
    {
        auto &result = m_result.poisons[index];
        m_lastPoisonDeath = m_now;
        if (++result.deaths == 5) {
            result.fifthDeath = m_now;
        }
    }

    bool reachesLog(std::size_t index) const
    {
        return !m_options.logAway.contains(m_now) && !(index == 0 && m_options.firstGatewayCutOff.contains(m_now));
    }

    void exchange(std::size_t index)
    {
        auto &gateway = m_gateways[index];
        if (reachesLog(index)) {
            for (auto &record : std::exchange(gateway.unsent, {})) {
                m_log.push_back({.at = m_now + gateway.latency / 2, .record = std::move(record)});
            }
            std::vector<PromptPartRecord> read;
            while (gateway.nextOffset < m_log.size() && m_log[gateway.nextOffset].at + gateway.latency / 2 <= m_now) {
                const auto &entry = m_log[gateway.nextOffset++];
                if (m_now - entry.at < m_options.logRetention) {
                    read.push_back(entry.record);
                }
            }
            if (!read.empty()) {
                handle(gateway, gateway.suspects->apply(read, time()));
            }
        }
        if (m_now.count() % TickInterval.count() == 0) {
            handle(gateway, gateway.suspects->tick(time()));
        }
    }

    void handle(Gateway &gateway, PromptPartChanges changes)
    {
        for (const auto part : changes.blocked) {
            const auto index = toNumber(part) - PoisonBase;
            if (index < m_result.poisons.size() && !m_result.poisons[index].verdict) {
                m_result.poisons[index].verdict = m_now;
            }
        }
        for (auto &record : changes.toPublish) {
            ++m_result.records;
            m_result.bytes += encodeCrashRecord(record).size();
            if ((m_options.dropsVerdicts && std::holds_alternative<PromptPartBlocked>(record))
                || (m_options.dropsAnswers && std::holds_alternative<PromptPartsAnswered>(record))) {
                continue;
            }
            if (auto *death = std::get_if<PromptPartsDeath>(&record); death && m_options.dropsAnsweredMarks) {
                for (auto &inHand : death->parts) {
                    inHand.wasAnswered = false;
                }
            }
            gateway.unsent.push_back(std::move(record));
        }
    }

    void send(std::size_t index)
    {
        auto &gateway = m_gateways[index];
        for (auto &request : std::exchange(gateway.waiting, {})) {
            if (gateway.suspects->blockedPart(request.parts) && !gateway.suspects->takeTrial(request.parts, time())) {
                handle(gateway, gateway.suspects->recordRefusal(request.parts, time()));
                refuse(std::move(request));
            } else if (m_now - request.arrived > MaxWait) {
                fail(std::move(request));
            } else if (const auto target = place(gateway, request)) {
                request.sent = m_now;
                ++request.attempts;
                countArrival(request, index);
                m_targets[*target].requests.push_back(std::move(request));
            } else {
                gateway.waiting.push_back(std::move(request));
            }
        }
    }

    void refuse(Request request)
    {
        if (!request.poison) {
            m_result.firstSoundRefused = m_result.soundRefused == 0 ? m_now : m_result.firstSoundRefused;
            ++m_result.soundRefused;
            m_result.lastSoundRefused = m_now;
        }
        fail(std::move(request));
    }

    void countArrival(const Request &request, std::size_t gateway)
    {
        if (!request.poison) {
            return;
        }
        auto &result = m_result.poisons[*request.poison];
        const bool isInTouch = [&] {
            const auto &cut = m_options.firstGatewayCutOff;
            const auto &away = m_options.logAway;
            return !(gateway == 0 && ModelPeriod{cut.from, cut.to + StableWindow}.contains(m_now) && cut.to > 0ms)
                && !(away.to > 0ms && ModelPeriod{away.from, away.to + StableWindow}.contains(m_now));
        }();
        if (result.fifthDeath && m_now > *result.fifthDeath + StableWindow && isInTouch) {
            ++result.reachedLate;
        }
    }

    std::optional<std::size_t> place(Gateway &gateway, Request &request)
    {
        std::vector<std::size_t> usable;
        std::vector<std::size_t> separate;
        const bool isSuspect = gateway.suspects->isSuspect(request.parts);
        for (std::size_t target = 0; target < m_targets.size(); ++target) {
            if (m_openAt[target / m_options.groupSize] <= m_now && m_targets[target].requests.size() < Slots) {
                usable.push_back(target);
                if (!gateway.suspectTargets.contains(target)) {
                    separate.push_back(target);
                }
            }
        }
        if (usable.empty() || !gateway.suspects->mayStart(request.parts, time())) {
            return std::nullopt;
        }
        const auto &candidates = isSuspect && !separate.empty() ? separate : usable;
        const auto target = candidates[m_random.below(candidates.size())];
        request.isSuspect = isSuspect;
        if (isSuspect) {
            gateway.suspectTargets.insert(target);
        }
        return target;
    }

    const PromptPartModelOptions &m_options;
    SeededRandom m_random;
    milliseconds m_now{};
    std::vector<Target> m_targets;
    std::vector<milliseconds> m_openAt; ///< by group
    std::vector<Gateway> m_gateways;
    std::vector<LogEntry> m_log;
    std::vector<Detection> m_detections;
    std::deque<Request> m_retries;
    std::optional<milliseconds> m_lastPoisonDeath;
    std::vector<Shares> m_shares;
    std::uint64_t m_freshParts = 0;
    PromptPartModelResult m_result;
};

} // namespace

PromptPartModelResult runPromptPartModel(const PromptPartModelOptions &options)
{
    return Model(options).run();
}

} // namespace Heatherridge
