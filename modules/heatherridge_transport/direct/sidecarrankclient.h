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

/** HTTP paths and names that a sidecar and its clients share. */
namespace SidecarPaths
{
constexpr std::string_view Status = "/rank/status";
constexpr std::string_view Counts = "/rank/counts";
constexpr std::string_view Experts = "/rank/experts";
constexpr std::string_view Order = "/rank/order";
/** Exchange of demand between gateways; concerns no target. */
constexpr std::string_view Demand = "/fleet/demand";
/** Exchange of rules between gateways; concerns no target. */
constexpr std::string_view Rules = "/fleet/rules";
/** Header with the target name, which identifies one run of the engine. */
constexpr std::string_view TargetHeader = "Rank-Target";
/** Query parameter of a counts request: the mark of the reading to which the returned counts are relative. */
constexpr std::string_view SinceParameter = "since";
} // namespace SidecarPaths

/**
 * Controls ranks through their sidecars, and directly where there is no sidecar.
 *
 * Reads through a sidecar are fresh, do not pause the group and cost nothing apart from the sidecar itself. A sidecar
 * that does not answer is bypassed for a while, because it may be frozen while its engine still works. Orders to hold,
 * arm, disarm and release go directly to the engine. If a sidecar exists, counts are never read directly: a direct read
 * pauses the whole group, longer for larger models, and the counts of the other ranks carry the same information. Runs
 * on the thread of the client's loop.
 */
class SidecarRankClient final : public RankControl
{
public:
    struct Options
    {
        int port = 0; ///< on which every sidecar listens, on the host of its engine; 0 if there are no sidecars
        std::chrono::milliseconds readTimeout{250}; ///< for reads of status, counts and experts
        /** For orders. Each answer time includes the sidecar's wait for its engine. */
        AnswerTimeout::Options orderTimeout{.minimum = std::chrono::milliseconds(50),
                                            .maximum = std::chrono::milliseconds(130)};
        std::chrono::milliseconds initialBackoff{
            1'000}; ///< first bypass of a silent sidecar; about the time of a restart
        std::chrono::milliseconds maxBackoff{
            4'000}; ///< limit for the bypass time, which doubles with each further failure
    };

    /** Uses @p client and @p metrics, which must outlive it. @param direct reaches the engines without a sidecar */
    SidecarRankClient(HttpClient &client, Options options, std::unique_ptr<RankControl> direct, Metrics &metrics);

    std::chrono::milliseconds maxStatusAge(const TargetEntry &target) const override;
    void fetchStatus(const TargetEntry &target, std::function<void(Result<RankStatus>)> done) override;
    void fetchCounts(const TargetEntry &target, std::function<void(Result<RankCounts>)> done) override;
    void fetchExperts(const TargetEntry &target, std::function<void(Result<RankExperts>)> done) override;
    void sendOrder(const TargetEntry &target, const RankOrder &order, std::uint64_t epoch,
                   std::function<void(OrderReply)> done) override;

private:
    template<typename T>
    void query(const TargetEntry &target, const HttpClient::Call &call,
               std::function<Result<T>(std::string_view)> decode, std::function<void()> direct,
               std::function<void(Result<T>)> done);
    HttpClient::Call makeCall(const TargetEntry &target, std::string_view path,
                              std::string body) const; ///< sends an order if @p body is not empty
    Result<RankCounts> decodeCounts(const TargetEntry &target, std::string_view bytes);
    bool isBypassed(const TargetEntry &target) const;
    void recordFailure(const TargetEntry &target);
    void recordSuccess(const TargetEntry &target);

    /** Bypass state of a sidecar that did not answer; removed when it answers again. */
    struct Backoff
    {
        std::chrono::milliseconds duration{};
        SteadyTime until{};
    };

    HttpClient &m_client;
    Options m_options;
    std::unique_ptr<RankControl> m_direct;
    AnswerTimeout m_orderTimeout;
    Counter &m_bypasses;
    /** Counts received from the sidecar at one address. */
    struct ReceivedCounts
    {
        TargetName target{};
        CountsDeltaDecoder listener{};
    };

    std::map<std::string, Backoff> m_backoffs; ///< by address
    std::map<std::string, ReceivedCounts> m_receivedCounts; ///< by address
};

} // namespace Heatherridge
