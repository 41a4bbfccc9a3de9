#include "heatherridge_transport/direct/sidecarserver.h"

#include "heatherridge_protocol/rankmessage.h"
#include "heatherridge_transport/app/eventloop.h"
#include "heatherridge_transport/app/logger.h"
#include "heatherridge_transport/direct/callerserver.h"
#include "heatherridge_transport/direct/sharedread.h"
#include "heatherridge_transport/direct/sidecarranks.h"

#include <asio/io_context.hpp>

#include <charconv>
#include <map>
#include <random>
#include <thread>

namespace Heatherridge
{

namespace
{

/** Open exchanges with the engine end within this, or their keepers have given up. */
constexpr std::chrono::milliseconds StopTime{300};

/** Marks of readings are drawn below this, so that they stay whole numbers wherever they are read as fractions. */
constexpr std::uint64_t MarkBound = std::uint64_t{1} << 52U;

std::uint64_t drawnMark()
{
    std::random_device entropy;
    return std::uniform_int_distribution<std::uint64_t>(1, MarkBound)(entropy);
}

/** The number in @p text; 0 for anything else. */
std::uint64_t numberIn(const std::string &text)
{
    std::uint64_t number = 0;
    const auto *end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, number);
    return read.ec == std::errc() && read.ptr == end ? number : 0;
}

HttpResponse failureOf(const Error &error)
{
    return {.status = answerFor(error.kind).httpStatus, .body = error.detail};
}

} // namespace

class SidecarServer::Implementation
{
public:
    Implementation(Options options, const MakeRanks &makeRanks)
        : m_options(std::move(options))
        , m_client(m_loop.context(), {.connectTimeout = std::chrono::milliseconds(200), .keptConnections = 4})
        , m_ranks(makeRanks(m_client))
        , m_server(
              m_loop.context(), {.listen = m_options.listen, .maxConnections = 64},
              [this](const auto &exchange) { handle(exchange); },
              [](ErrorKind kind) { return failureOf({.kind = kind}); }, m_metrics)
    {
    }

    Result<std::vector<Endpoint>> start()
    {
        auto listening = m_server.start();
        if (const auto *error = errorIn(listening)) {
            return *error;
        }
        m_loop.start();
        return std::vector<Endpoint>{std::get<Endpoint>(listening)};
    }

    void drainAndStop()
    {
        logEvent(Severity::Info, "stopping", {});
        m_loop.post([this] { m_server.beginDrain(); });
        std::this_thread::sleep_for(StopTime);
        m_loop.run([this] { m_server.stop(); });
        m_loop.stop();
    }

private:
    void handle(const std::shared_ptr<HttpExchange> &exchange)
    {
        const auto &request = exchange->request();
        const TargetEntry target{.id = TargetName(std::string(request.header(SidecarPaths::TargetHeader))),
                                 .address = m_options.engine};
        if (request.path == SidecarPaths::Status) {
            tellStatus(exchange, target);
        } else if (request.path == SidecarPaths::Counts) {
            tellCounts(exchange, target);
        } else if (request.path == SidecarPaths::Experts) {
            m_ranks->fetchExperts(target, answerWith<RankExperts>(exchange));
        } else if (request.path == SidecarPaths::Order) {
            handOver(exchange);
        } else {
            exchange->respond(failureOf({.kind = ErrorKind::NotFound}));
        }
    }

    void tellStatus(const std::shared_ptr<HttpExchange> &exchange, const TargetEntry &target)
    {
        statusOf(target).ask([this, exchange](Result<RankStatus> result) {
            auto *status = std::get_if<RankStatus>(&result);
            if (status != nullptr) {
                const auto ago = std::chrono::steady_clock::now() - m_countsAskedAt;
                status->countsLastPolledAgo = std::chrono::duration_cast<std::chrono::milliseconds>(ago);
            }
            answerWith<RankStatus>(exchange)(result);
        });
    }

    SharedRead<RankStatus> &statusOf(const TargetEntry &target)
    {
        std::erase_if(m_statuses,
                      [&target](const auto &entry) { return entry.first != target.id && entry.second.isIdle(); });
        return m_statuses
            .try_emplace(target.id, [this, target](auto done) { m_ranks->fetchStatus(target, std::move(done)); })
            .first->second;
    }

    void tellCounts(const std::shared_ptr<HttpExchange> &exchange, const TargetEntry &target)
    {
        m_countsAskedAt = std::chrono::steady_clock::now();
        const auto since = numberIn(exchange->request().queryParameter(SidecarPaths::SinceParameter));
        m_ranks->fetchCounts(target, [this, exchange, target, since](const Result<RankCounts> &counts) {
            if (const auto *error = errorIn(counts)) {
                exchange->respond(failureOf(*error));
                return;
            }
            exchange->respond(
                {.body = encode(m_countsTeller.createUpdate(target.id, std::get<RankCounts>(counts), since))});
        });
    }

    void handOver(const std::shared_ptr<HttpExchange> &exchange)
    {
        const auto read = decodeRankOrder(exchange->request().body);
        if (const auto *error = errorIn(read)) {
            logEvent(Severity::Warning, "order-malformed", {{"reason", error->detail}});
            exchange->respond(failureOf({.kind = ErrorKind::BadRequest, .detail = error->detail}));
            return;
        }
        const auto &message = std::get<RankOrderMessage>(read);
        m_ranks->sendOrder({.id = message.target, .address = m_options.engine}, message.order, message.epoch,
                           [exchange](OrderReply reply) { exchange->respond({.body = encode(reply)}); });
    }

    template<typename T>
    static std::function<void(const Result<T> &)> answerWith(const std::shared_ptr<HttpExchange> &exchange)
    {
        return [exchange](const Result<T> &result) {
            const auto *error = errorIn(result);
            exchange->respond(error != nullptr ? failureOf(*error) : HttpResponse{.body = encode(std::get<T>(result))});
        };
    }

    Options m_options;
    Metrics m_metrics;
    EventLoop m_loop;
    HttpClient m_client;
    std::unique_ptr<RankControl> m_ranks;
    std::map<TargetName, SharedRead<RankStatus>> m_statuses; ///< by the run of the engine that is meant
    CountsDeltaEncoder m_countsTeller{drawnMark()};
    SteadyTime m_countsAskedAt = std::chrono::steady_clock::now(); ///< by a keeper; before that, when this was made
    CallerServer m_server;
};

SidecarServer::SidecarServer(Options options, const MakeRanks &makeRanks)
    : m_implementation(std::make_unique<Implementation>(std::move(options), makeRanks))
{
}

SidecarServer::~SidecarServer() = default;

Result<std::vector<Endpoint>> SidecarServer::start()
{
    return m_implementation->start();
}

void SidecarServer::drainAndStop()
{
    m_implementation->drainAndStop();
}

} // namespace Heatherridge
