#include "logstandin.h"

#include <algorithm>
#include <utility>

namespace Heatherridge
{

namespace
{

constexpr std::size_t MostRecordBytes = 1UL << 20U;
constexpr long long MostRecordsOfPage = 10'000;
constexpr long long LongestWait = 60'000;
constexpr std::chrono::seconds LongestBacklog{2};

} // namespace

LogStandIn::LogStandIn(EventLoop &loop)
    : StandIn(loop,
              {{.name = "hang-after-append",
                .value = 0,
                .summary = "1: the first append takes effect, and from it on nothing is answered"},
               {.name = "out", .value = 0, .summary = "1: every request is answered 503 at once"},
               {.name = "hang", .value = 0, .summary = "1: requests are taken and never answered"},
               {.name = "slow-ms", .value = 0, .summary = "milliseconds before a request is looked at"},
               {.name = "lose-reply",
                .value = 0,
                .summary = "for this many appends: take effect, then close without an answer; -1 for all"},
               {.name = "retention-records", .value = 0, .summary = "records kept of a stream; 0 keeps all"},
               {.name = "retention-ms", .value = 0, .summary = "age up to which records are kept; 0 keeps all"},
               {.name = "rate", .value = 0, .summary = "appends a second, further ones wait their turn; 0: no bound"}})
{
}

void LogStandIn::serve(const std::shared_ptr<HttpExchange> &exchange)
{
    if (switchValue("out") != 0) {
        count("refused-out");
        respondError(*exchange, 503, "the log is out");
    } else if (switchValue("hang") != 0) {
        count("held");
        m_held.push_back(exchange);
    } else if (switchValue("slow-ms") > 0) {
        loop().after(std::chrono::milliseconds(switchValue("slow-ms")), [this, exchange] { dispatch(exchange); });
    } else {
        m_held.clear();
        dispatch(exchange);
    }
}

void LogStandIn::dispatch(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto &request = exchange->request();
    const auto parts = pathParts(request.path);
    if (parts.size() != 3 || parts[0] != "streams" || parts[2] != "records") {
        respondError(*exchange, 404, "the log has /streams/NAME/records");
    } else if (request.method == "GET") {
        read(parts[1], exchange);
    } else if (request.method != "POST") {
        respondError(*exchange, 405, "append with POST, read with GET");
    } else if (request.body.size() > MostRecordBytes) {
        respondError(*exchange, 413, "a record has at most 1 MiB");
    } else if (switchValue("rate") > 0) {
        const auto now = std::chrono::steady_clock::now();
        const auto turn = std::max(now, m_nextAppend);
        if (turn - now > LongestBacklog) {
            count("refused-rate");
            respondError(*exchange, 503, "too many appends");
            return;
        }
        m_nextAppend = turn + std::chrono::microseconds(std::chrono::seconds(1)) / switchValue("rate");
        loop().after(std::chrono::duration_cast<std::chrono::microseconds>(turn - now),
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
        m_held.push_back(exchange);
    } else if (const auto lost = switchValue("lose-reply"); lost != 0) {
        count("replies-lost");
        exchange->abort();
        if (lost > 0) {
            faults().set({{"lose-reply", lost - 1}});
        }
    } else {
        respondJson(*exchange, 200, {{"offset", offset}});
    }
    wake(name);
}

void LogStandIn::read(const std::string &name, const std::shared_ptr<HttpExchange> &exchange)
{
    const auto &request = exchange->request();
    const auto waiter = std::make_shared<Waiter>();
    waiter->exchange = exchange;
    waiter->from = static_cast<std::uint64_t>(std::max(1LL, queryNumber(request, "from", 1)));
    waiter->most = static_cast<std::size_t>(std::min(MostRecordsOfPage, queryNumber(request, "most", 1000)));
    const auto wait = std::min(LongestWait, queryNumber(request, "wait-ms", 0));
    count("reads");
    if (wait == 0 || m_streams[name].reaches(waiter->from)) {
        answer(name, *waiter);
        return;
    }
    m_waiters[name].push_back(waiter);
    loop().after(std::chrono::milliseconds(wait), [this, name, waiter] {
        if (waiter->exchange && switchValue("hang") != 0) {
            m_held.push_back(waiter->exchange);
        } else if (waiter->exchange) {
            answer(name, *waiter);
            waiter->exchange.reset();
        }
        std::erase(m_waiters[name], waiter);
    });
}

void LogStandIn::answer(const std::string &name, const Waiter &waiter)
{
    auto &stream = m_streams[name];
    stream.expire(retention(), wallMilliseconds());
    waiter.exchange->respond(HttpResponse{.headers = {{.name = "Content-Type", .value = "application/cbor"}},
                                          .body = stream.page(waiter.from, waiter.most)});
}

void LogStandIn::wake(const std::string &name)
{
    if (switchValue("hang") != 0) {
        return;
    }
    for (const auto &waiter : std::exchange(m_waiters[name], {})) {
        answer(name, *waiter);
        waiter->exchange.reset();
    }
}

LogStream::Retention LogStandIn::retention() const
{
    return {.records = static_cast<std::size_t>(std::max(0LL, switchValue("retention-records"))),
            .age = std::chrono::milliseconds(switchValue("retention-ms"))};
}

} // namespace Heatherridge
