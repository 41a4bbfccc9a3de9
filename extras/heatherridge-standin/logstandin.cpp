#include "logstandin.h"

#include <algorithm>
#include <utility>

namespace Heatherridge
{

namespace
{

constexpr std::size_t MaxRecordBytes = 1UL << 20U;
constexpr long long MaxRecordsPerPage = 10'000;
constexpr long long MaxWaitMilliseconds = 60'000;
constexpr std::chrono::seconds MaxBacklog{2};

} // namespace

LogStandIn::LogStandIn(EventLoop &loop)
    : StandIn(
        loop,
        {{.name = "hang-after-append",
          .value = 0,
          .summary = "1: the next append takes effect; neither it nor any later request is answered"},
         {.name = "out", .value = 0, .summary = "1: every request is answered 503 at once"},
         {.name = "hang", .value = 0, .summary = "1: requests are accepted but never answered"},
         {.name = "slow-ms", .value = 0, .summary = "delay in milliseconds before a request is processed"},
         {.name = "lose-reply",
          .value = 0,
          .summary = "number of appends that take effect but close the connection without an answer; -1 for all"},
         {.name = "retention-records", .value = 0, .summary = "maximum number of records kept per stream; 0 keeps all"},
         {.name = "retention-ms", .value = 0, .summary = "maximum age of records in milliseconds; 0 keeps all"},
         {.name = "rate", .value = 0, .summary = "maximum appends per second, further ones are delayed; 0: unlimited"}})
{
}

void LogStandIn::serve(const std::shared_ptr<HttpExchange> &exchange)
{
    if (switchValue("out") != 0) {
        count("refused-out");
        respondError(*exchange, 503, "the log is unavailable");
    } else if (switchValue("hang") != 0) {
        count("held");
        m_heldExchanges.push_back(exchange);
    } else if (switchValue("slow-ms") > 0) {
        loop().after(std::chrono::milliseconds(switchValue("slow-ms")), [this, exchange] { dispatch(exchange); });
    } else {
        m_heldExchanges.clear();
        dispatch(exchange);
    }
}

void LogStandIn::dispatch(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto &request = exchange->request();
    const auto parts = pathParts(request.path);
    if (parts.size() != 3 || parts[0] != "streams" || parts[2] != "records") {
        respondError(*exchange, 404, "the log serves /streams/NAME/records");
    } else if (request.method == "GET") {
        read(parts[1], exchange);
    } else if (request.method != "POST") {
        respondError(*exchange, 405, "only POST (append) and GET (read) are allowed");
    } else if (request.body.size() > MaxRecordBytes) {
        respondError(*exchange, 413, "a record must not exceed 1 MiB");
    } else if (switchValue("rate") > 0) {
        const auto now = std::chrono::steady_clock::now();
        const auto appendTime = std::max(now, m_nextAppendTime);
        if (appendTime - now > MaxBacklog) {
            count("refused-rate");
            respondError(*exchange, 503, "too many appends");
            return;
        }
        m_nextAppendTime = appendTime + std::chrono::microseconds(std::chrono::seconds(1)) / switchValue("rate");
        loop().after(std::chrono::duration_cast<std::chrono::microseconds>(appendTime - now),
                     [this, name = parts[1], exchange] { append(name, exchange); });
    } else {
        append(parts[1], exchange);
    }
}

void LogStandIn::append(const std::string &name, const std::shared_ptr<HttpExchange> &exchange)
{
    const auto now = wallMilliseconds();
    auto &stream = m_streams[name];
    const auto offset = stream.append(exchange->request().body, now);
    stream.expire(retention(), now);
    count("appends");
    if (switchValue("hang-after-append") != 0) {
        faults().set({{"hang", 1}});
        m_heldExchanges.push_back(exchange);
    } else if (const auto remainingLosses = switchValue("lose-reply"); remainingLosses != 0) {
        count("replies-lost");
        exchange->abort();
        if (remainingLosses > 0) {
            faults().set({{"lose-reply", remainingLosses - 1}});
        }
    } else {
        respondJson(*exchange, 200, {{"offset", offset}});
    }
    notifyPendingReads(name);
}

void LogStandIn::read(const std::string &name, const std::shared_ptr<HttpExchange> &exchange)
{
    const auto &request = exchange->request();
    const auto pendingRead = std::make_shared<PendingRead>();
    pendingRead->exchange = exchange;
    pendingRead->from = static_cast<std::uint64_t>(std::max(1LL, queryNumber(request, "from", 1)));
    pendingRead->maxRecords = static_cast<std::size_t>(std::min(MaxRecordsPerPage, queryNumber(request, "most", 1000)));
    const auto wait = std::min(MaxWaitMilliseconds, queryNumber(request, "wait-ms", 0));
    count("reads");
    if (wait == 0 || m_streams[name].hasRecordFrom(pendingRead->from)) {
        respondPage(name, *pendingRead);
        return;
    }
    m_pendingReads[name].push_back(pendingRead);
    loop().after(std::chrono::milliseconds(wait), [this, name, pendingRead] {
        if (pendingRead->exchange && switchValue("hang") != 0) {
            m_heldExchanges.push_back(pendingRead->exchange);
        } else if (pendingRead->exchange) {
            respondPage(name, *pendingRead);
            pendingRead->exchange.reset();
        }
        std::erase(m_pendingReads[name], pendingRead);
    });
}

void LogStandIn::respondPage(const std::string &name, const PendingRead &pendingRead)
{
    auto &stream = m_streams[name];
    stream.expire(retention(), wallMilliseconds());
    pendingRead.exchange->respond(HttpResponse{.headers = {{.name = "Content-Type", .value = "application/cbor"}},
                                               .body = stream.page(pendingRead.from, pendingRead.maxRecords)});
}

void LogStandIn::notifyPendingReads(const std::string &name)
{
    if (switchValue("hang") != 0) {
        return;
    }
    for (const auto &pendingRead : std::exchange(m_pendingReads[name], {})) {
        respondPage(name, *pendingRead);
        pendingRead->exchange.reset();
    }
}

LogStream::Retention LogStandIn::retention() const
{
    return {.records = static_cast<std::size_t>(std::max(0LL, switchValue("retention-records"))),
            .age = std::chrono::milliseconds(switchValue("retention-ms"))};
}

} // namespace Heatherridge
