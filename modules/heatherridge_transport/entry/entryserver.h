#pragma once

#include "heatherridge_transport/app/controlplane.h"
#include "heatherridge_transport/entry/entrytraffic.h"

#include <memory>
#include <vector>

namespace Heatherridge
{

/**
 * A complete entry process: the HTTP server for callers, traffic threads and control thread.
 *
 * Serves `POST /v1/chat/completions`, any method below `/services/NAME/`, `GET /healthz`, `/readyz`, `/metrics` and
 * the operator's `GET /admin/...`.
 */
class EntryServer
{
public:
    struct Options
    {
        ProcessName process{};
        Incarnation incarnation{};
        ZoneName zone{};
        Endpoint listen{}; ///< for callers
        Endpoint logService{};
        Endpoint hostList{}; ///< the platform's host list; port 0 if it is not used
        std::vector<Endpoint> peers{}; ///< gates from which the state is requested while there is no inventory
        int httpThreads = 2;
        int trafficThreads = 1;
        std::size_t targetsPerKind = LinkPlanOptions{}.targetsPerKind; ///< @see LinkPlan
        CallerLimits limits{};
        std::chrono::milliseconds callerTimeout{60'000}; ///< a caller that reads nothing for this long is disconnected
        std::chrono::milliseconds sendTimeout{10'000}; ///< the connection is closed if a request takes longer to arrive
        std::chrono::milliseconds drainTimeout{60'000}; ///< maximum wait for open calls at shutdown
    };

    explicit EntryServer(Options options);
    ~EntryServer();

    EntryServer(const EntryServer &) = delete;
    EntryServer &operator=(const EntryServer &) = delete;

    /** Starts all threads. @returns the endpoint that serves callers, or the error */
    Result<std::vector<Endpoint>> start();

    /**
     * Shuts down gracefully: /readyz fails, new requests are refused as not run, open ones complete, then all threads
     * stop. Blocks until then, waiting for open requests for at most the drain timeout.
     */
    void drainAndStop();

private:
    void stopThreads();
    void handle(const std::shared_ptr<HttpExchange> &exchange);
    void handleCallerRequest(const std::shared_ptr<HttpExchange> &exchange);
    HttpResponse handleAdmin(const HttpRequest &request);
    HttpResponse status();
    HttpResponse targets();
    HttpResponse explainRequest(const HttpRequest &request) const;
    std::size_t openCalls() const;
    RequestId newRequestId();

    Options m_options;
    Metrics m_metrics;
    RequestJournal m_journal;
    ControlPlane m_control;
    std::vector<std::unique_ptr<EntryTraffic>> m_traffic;
    std::unique_ptr<HttpServer> m_server;
    std::atomic<std::uint64_t> m_lastRequestNumber{0};
    std::atomic<bool> m_draining{false};
};

} // namespace Heatherridge
