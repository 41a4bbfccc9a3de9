#include "heatherridge_transport/direct/sidecarrankclient.h"

#include "heatherridge_protocol/rankmessage.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

/** Maximum age of a status that the sidecar reads on request: one round trip to the sidecar. */
constexpr std::chrono::milliseconds FreshStatusAge{10};
constexpr int OkStatus = 200;

} // namespace

SidecarRankClient::SidecarRankClient(HttpClient &client, Options options, std::unique_ptr<RankControl> direct,
                                     Metrics &metrics)
    : m_client(client)
    , m_options(options)
    , m_direct(std::move(direct))
    , m_orderTimeout(options.orderTimeout)
    , m_bypasses(metrics.counter("heatherridge_sidecars_passed_over_total"))
{
}

std::chrono::milliseconds SidecarRankClient::maxStatusAge(const TargetEntry &target) const
{
    return isBypassed(target) ? m_direct->maxStatusAge(target) : FreshStatusAge;
}

void SidecarRankClient::fetchStatus(const TargetEntry &target, std::function<void(Result<RankStatus>)> done)
{
    const auto setFreshAge = [done](Result<RankStatus> status) {
        if (auto *read = std::get_if<RankStatus>(&status)) {
            read->maxAge = FreshStatusAge;
        }
        done(std::move(status));
    };
    query<RankStatus>(
        target, makeCall(target, SidecarPaths::Status, {}), decodeRankStatus,
        [this, target, done] { m_direct->fetchStatus(target, done); }, setFreshAge);
}

void SidecarRankClient::fetchCounts(const TargetEntry &target, std::function<void(Result<RankCounts>)> done)
{
    if (m_options.port == 0) {
        m_direct->fetchCounts(target, std::move(done));
        return;
    }
    auto &received = m_receivedCounts[target.address.address];
    if (received.target != target.id) {
        received = {.target = target.id};
    }
    auto call = makeCall(target, SidecarPaths::Counts, {});
    call.request.query = std::string(SidecarPaths::SinceParameter) + "=" + std::to_string(received.listener.lastId());
    const auto unavailable = [done] {
        done(Error{.kind = ErrorKind::TargetUnreachable, .detail = "the sidecar of the rank does not answer"});
    };
    query<RankCounts>(
        target, call, [this, target](std::string_view bytes) { return decodeCounts(target, bytes); }, unavailable,
        std::move(done));
}

Result<RankCounts> SidecarRankClient::decodeCounts(const TargetEntry &target, std::string_view bytes)
{
    const auto decoded = decodeCountsUpdate(bytes);
    if (const auto *error = errorIn(decoded)) {
        return *error;
    }
    auto &received = m_receivedCounts[target.address.address];
    const auto counts =
        received.target == target.id ? received.listener.apply(std::get<CountsUpdate>(decoded)) : std::nullopt;
    if (!counts) {
        return Error{.kind = ErrorKind::BackendFailed, .detail = "counts are relative to an unknown reading"};
    }
    return *counts;
}

void SidecarRankClient::fetchExperts(const TargetEntry &target, std::function<void(Result<RankExperts>)> done)
{
    query<RankExperts>(
        target, makeCall(target, SidecarPaths::Experts, {}), decodeRankExperts,
        [this, target, done] { m_direct->fetchExperts(target, done); }, done);
}

void SidecarRankClient::sendOrder(const TargetEntry &target, const RankOrder &order, std::uint64_t epoch,
                                  std::function<void(OrderReply)> done)
{
    // From the hold on, orders go directly to the engine. If the sidecar's machine froze while an answer to such an
    // order was in flight, the state of its rank would be unknown, and the group would stand still until the machine
    // resumed (6.8 s, versus 1.2 s if this process freezes and another one takes over). Orders before the
    // hold cost nothing through the sidecar.
    const bool isBeforeHold = std::holds_alternative<PrepareMap>(order);
    if (isBypassed(target) || !isBeforeHold) {
        m_direct->sendOrder(target, order, epoch, std::move(done));
        return;
    }
    auto body = encode(RankOrderMessage{.target = target.id, .epoch = epoch, .order = order});
    m_client.send(makeCall(target, SidecarPaths::Order, std::move(body)),
                  [this, target, order, epoch, sentAt = std::chrono::steady_clock::now(),
                   done = std::move(done)](std::variant<HttpResponse, HttpClient::Failure> result) {
                      if (const auto *failure = std::get_if<HttpClient::Failure>(&result)) {
                          m_orderTimeout.recordTimeout();
                          recordFailure(target);
                          if (failure->mayHaveArrived) {
                              done(OrderReply::NoAnswer); // a retry bypasses the sidecar
                          } else {
                              m_direct->sendOrder(target, order, epoch, done);
                          }
                          return;
                      }
                      m_orderTimeout.recordAnswer(std::chrono::steady_clock::now() - sentAt);
                      recordSuccess(target);
                      const auto &response = std::get<HttpResponse>(result);
                      const auto reply = decodeOrderReply(response.body);
                      const bool isValid = response.status == OkStatus && errorIn(reply) == nullptr;
                      done(isValid ? std::get<OrderReply>(reply) : OrderReply::NoAnswer);
                  });
}

template<typename T>
void SidecarRankClient::query(const TargetEntry &target, const HttpClient::Call &call,
                              std::function<Result<T>(std::string_view)> decode, std::function<void()> direct,
                              std::function<void(Result<T>)> done)
{
    if (isBypassed(target)) {
        direct();
        return;
    }
    m_client.send(
        call,
        [this, target, decode = std::move(decode), direct = std::move(direct),
         done = std::move(done)](std::variant<HttpResponse, HttpClient::Failure> result) {
            if (std::holds_alternative<HttpClient::Failure>(result)) {
                recordFailure(target);
                direct();
                return;
            }
            recordSuccess(target);
            const auto &response = std::get<HttpResponse>(result);
            if (response.status == errorDescriptorFor(ErrorKind::NotFound).httpStatus) {
                done(Error{.kind = ErrorKind::NotFound, .detail = "the sidecar serves another run of the engine"});
                return;
            }
            if (response.status != OkStatus) {
                done(Error{.kind = ErrorKind::BackendFailed,
                           .detail = "sidecar answered with status " + std::to_string(response.status)});
                return;
            }
            done(decode(response.body));
        });
}

HttpClient::Call SidecarRankClient::makeCall(const TargetEntry &target, std::string_view path, std::string body) const
{
    const auto timeout = body.empty() ? m_options.readTimeout : m_orderTimeout.current();
    return {.endpoint = {.address = target.address.address, .port = m_options.port},
            .request = {.method = body.empty() ? "GET" : "POST",
                        .path = std::string(path),
                        .headers = {{.name = std::string(SidecarPaths::TargetHeader), .value = target.id.text()}},
                        .body = std::move(body)},
            .timeout = timeout};
}

bool SidecarRankClient::isBypassed(const TargetEntry &target) const
{
    const auto entry = m_backoffs.find(target.address.address);
    return m_options.port == 0 || (entry != m_backoffs.end() && std::chrono::steady_clock::now() < entry->second.until);
}

void SidecarRankClient::recordFailure(const TargetEntry &target)
{
    m_bypasses.add();
    auto &backoff = m_backoffs[target.address.address];
    backoff.duration = std::clamp(backoff.duration * 2, m_options.initialBackoff, m_options.maxBackoff);
    backoff.until = std::chrono::steady_clock::now() + backoff.duration;
}

void SidecarRankClient::recordSuccess(const TargetEntry &target)
{
    m_backoffs.erase(target.address.address);
}

} // namespace Heatherridge
