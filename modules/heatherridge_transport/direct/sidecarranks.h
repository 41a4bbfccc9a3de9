#pragma once

#include "heatherridge_coordination/groups/rankcontrol.h"
#include "heatherridge_protocol/countsupdate.h"
#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/decisions/answertimeout.h"
#include "heatherridge_transport/app/metrics.h"
#include "heatherridge_transport/http/httpclient.h"

#include <map>
#include <memory>

namespace Heatherridge
{

/** Where a sidecar's calls are found; what both sides agree on. */
namespace SidecarPaths
{
constexpr std::string_view Status = "/rank/status";
constexpr std::string_view Counts = "/rank/counts";
constexpr std::string_view Experts = "/rank/experts";
constexpr std::string_view Order = "/rank/order";
/** Names the run of the engine that is meant. */
constexpr std::string_view TargetHeader = "Rank-Target";
/** Of a question for counts: the mark of the reading that they are to be told since. */
constexpr std::string_view SinceParameter = "since";
} // namespace SidecarPaths

/**
 * Reaches ranks through the processes beside them, and directly where there is none.
 *
 * What a sidecar reads is fresh and does not pause the group, and costs nothing beside the sidecar itself. One that
 * does not answer is passed over for a while: it may be frozen while its engine works. Orders to hold, arm, disarm and
 * release go straight to the engine. Counts are never read past a sidecar: that pauses the whole group, the longer the
 * larger the model, and the other ranks' counts tell the same. On the thread of the client's loop.
 */
class SidecarRanks final : public RankControl
{
public:
    struct Options
    {
        int port = 0; ///< at which every sidecar listens, on its engine's host
        std::chrono::milliseconds readTimeout{250}; ///< for a status or counts
        /** For an order; the sidecar's own wait for its engine is a part of each answer. */
        AnswerTimeout::Options orderTimeout{.minimum = std::chrono::milliseconds(50),
                                            .maximum = std::chrono::milliseconds(130)};
        std::chrono::milliseconds absence{1'000}; ///< how long a sidecar is passed over; a restart takes about as long
        std::chrono::milliseconds longestAbsence{4'000}; ///< doubles up to this for one that stays silent
    };

    /** Uses @p client and @p metrics, which must outlive it. @param direct takes over where there is no sidecar */
    SidecarRanks(HttpClient &client, Options options, std::unique_ptr<RankControl> direct, Metrics &metrics);

    std::chrono::milliseconds maxStatusAge(const TargetEntry &target) const override;
    void fetchStatus(const TargetEntry &target, std::function<void(Result<RankStatus>)> done) override;
    void fetchCounts(const TargetEntry &target, std::function<void(Result<RankCounts>)> done) override;
    void fetchExperts(const TargetEntry &target, std::function<void(Result<RankExperts>)> done) override;
    void sendOrder(const TargetEntry &target, const RankOrder &order, std::uint64_t epoch,
                   std::function<void(OrderReply)> done) override;

private:
    template<typename T>
    void ask(const TargetEntry &target, const HttpClient::Call &call, std::function<Result<T>(std::string_view)> decode,
             std::function<void()> direct, std::function<void(Result<T>)> done);
    HttpClient::Call callTo(const TargetEntry &target, std::string_view path,
                            std::string body) const; ///< a body: an order
    Result<RankCounts> listen(const TargetEntry &target, std::string_view bytes);
    bool isAbsent(const TargetEntry &target) const;
    void missed(const TargetEntry &target);
    void answered(const TargetEntry &target);

    /** Since when a sidecar does not answer, as long as it does not. */
    struct Absence
    {
        std::chrono::milliseconds span{};
        SteadyTime until{};
    };

    HttpClient &m_client;
    Options m_options;
    std::unique_ptr<RankControl> m_direct;
    AnswerTimeout m_orderTimeout;
    Counter &m_passedOver;
    /** What the sidecar at an address has told of its rank's counts. */
    struct HeardCounts
    {
        TargetName target{};
        CountsDeltaDecoder listener{};
    };

    std::map<std::string, Absence> m_absences; ///< by address
    std::map<std::string, HeardCounts> m_counts; ///< by address
};

} // namespace Heatherridge
