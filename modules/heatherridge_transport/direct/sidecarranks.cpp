#include "heatherridge_transport/direct/sidecarranks.h"

#include "heatherridge_protocol/rankmessage.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

/** How old a status is that a sidecar read when it was asked: the way to and fro. */
constexpr std::chrono::milliseconds FreshLag{10};
constexpr int OkStatus = 200;

} // namespace

SidecarRanks::SidecarRanks(HttpClient &client, Options options, std::unique_ptr<RankControl> direct, Metrics &metrics)
    : m_client(client)
    , m_options(options)
    , m_direct(std::move(direct))
    , m_orderTimeout(options.orderTimeout)
    , m_passedOver(metrics.counter("heatherridge_sidecars_passed_over_total"))
{
}

std::chrono::milliseconds SidecarRanks::maxStatusAge(const TargetEntry &target) const
{
    return isAbsent(target) ? m_direct->maxStatusAge(target) : FreshLag;
}

void SidecarRanks::fetchStatus(const TargetEntry &target, std::function<void(Result<RankStatus>)> done)
{
    const auto fresh = [done](Result<RankStatus> status) {
        if (auto *known = std::get_if<RankStatus>(&status)) {
            known->maxAge = FreshLag;
        }
        done(std::move(status));
    };
    ask<RankStatus>(
        target, callTo(target, SidecarPaths::Status, {}), decodeRankStatus,
        [this, target, done] { m_direct->fetchStatus(target, done); }, fresh);
}

void SidecarRanks::fetchCounts(const TargetEntry &target, std::function<void(Result<RankCounts>)> done)
{
    if (m_options.port == 0) {
        m_direct->fetchCounts(target, std::move(done));
        return;
    }
    auto &heard = m_counts[target.address.address];
    if (heard.target != target.id) {
        heard = {.target = target.id};
    }
    auto call = callTo(target, SidecarPaths::Counts, {});
    call.request.query = std::string(SidecarPaths::SinceParameter) + "=" + std::to_string(heard.listener.lastId());
    const auto absent = [done] {
        done(Error{.kind = ErrorKind::TargetUnreachable, .detail = "the process beside the rank does not answer"});
    };
    ask<RankCounts>(
        target, call, [this, target](std::string_view bytes) { return listen(target, bytes); }, absent,
        std::move(done));
}

Result<RankCounts> SidecarRanks::listen(const TargetEntry &target, std::string_view bytes)
{
    const auto reading = decodeCountsUpdate(bytes);
    if (const auto *error = errorIn(reading)) {
        return *error;
    }
    auto &heard = m_counts[target.address.address];
    const auto counts =
        heard.target == target.id ? heard.listener.apply(std::get<CountsUpdate>(reading)) : std::nullopt;
    if (!counts) {
        return Error{.kind = ErrorKind::BackendFailed, .detail = "counts since another reading"};
    }
    return *counts;
}

void SidecarRanks::fetchExperts(const TargetEntry &target, std::function<void(Result<RankExperts>)> done)
{
    ask<RankExperts>(
        target, callTo(target, SidecarPaths::Experts, {}), decodeRankExperts,
        [this, target, done] { m_direct->fetchExperts(target, done); }, done);
}

void SidecarRanks::sendOrder(const TargetEntry &target, const RankOrder &order, std::uint64_t epoch,
                             std::function<void(OrderReply)> done)
{
    // From the hold on an order goes straight to the engine: if the sidecar's machine freezes with the order's answer
    // on its way, nobody can tell what its rank has done, and the group stands still until it wakes (6.8 s, against 1.2
    // s when this process freezes and another takes over). What comes before is free through the sidecar.
    const bool isBeforeHold = std::holds_alternative<PrepareMap>(order);
    if (isAbsent(target) || !isBeforeHold) {
        m_direct->sendOrder(target, order, epoch, std::move(done));
        return;
    }
    auto body = encode(RankOrderMessage{.target = target.id, .epoch = epoch, .order = order});
    m_client.send(callTo(target, SidecarPaths::Order, std::move(body)),
                  [this, target, order, epoch, sentAt = std::chrono::steady_clock::now(),
                   done = std::move(done)](std::variant<HttpResponse, HttpClient::Failure> ended) {
                      if (const auto *failure = std::get_if<HttpClient::Failure>(&ended)) {
                          m_orderTimeout.recordTimeout();
                          missed(target);
                          if (failure->mayHaveArrived) {
                              done(OrderReply::NoAnswer); // given again, it goes past the sidecar
                          } else {
                              m_direct->sendOrder(target, order, epoch, done);
                          }
                          return;
                      }
                      m_orderTimeout.recordAnswer(std::chrono::steady_clock::now() - sentAt);
                      answered(target);
                      const auto &response = std::get<HttpResponse>(ended);
                      const auto reply = decodeOrderReply(response.body);
                      const bool isReadable = response.status == OkStatus && errorIn(reply) == nullptr;
                      done(isReadable ? std::get<OrderReply>(reply) : OrderReply::NoAnswer);
                  });
}

template<typename T>
void SidecarRanks::ask(const TargetEntry &target, const HttpClient::Call &call,
                       std::function<Result<T>(std::string_view)> decode, std::function<void()> direct,
                       std::function<void(Result<T>)> done)
{
    if (isAbsent(target)) {
        direct();
        return;
    }
    m_client.send(
        call,
        [this, target, decode = std::move(decode), direct = std::move(direct),
         done = std::move(done)](std::variant<HttpResponse, HttpClient::Failure> ended) {
            if (std::holds_alternative<HttpClient::Failure>(ended)) {
                missed(target);
                direct();
                return;
            }
            answered(target);
            const auto &response = std::get<HttpResponse>(ended);
            if (response.status == answerFor(ErrorKind::NotFound).httpStatus) {
                done(Error{.kind = ErrorKind::NotFound, .detail = "another run of the engine"});
                return;
            }
            if (response.status != OkStatus) {
                done(Error{.kind = ErrorKind::BackendFailed, .detail = "status " + std::to_string(response.status)});
                return;
            }
            done(decode(response.body));
        });
}

HttpClient::Call SidecarRanks::callTo(const TargetEntry &target, std::string_view path, std::string body) const
{
    const auto timeout = body.empty() ? m_options.readTimeout : m_orderTimeout.current();
    return {.endpoint = {.address = target.address.address, .port = m_options.port},
            .request = {.method = body.empty() ? "GET" : "POST",
                        .path = std::string(path),
                        .headers = {{.name = std::string(SidecarPaths::TargetHeader), .value = target.id.text()}},
                        .body = std::move(body)},
            .timeout = timeout};
}

bool SidecarRanks::isAbsent(const TargetEntry &target) const
{
    const auto found = m_absences.find(target.address.address);
    return m_options.port == 0 || (found != m_absences.end() && std::chrono::steady_clock::now() < found->second.until);
}

void SidecarRanks::missed(const TargetEntry &target)
{
    m_passedOver.add();
    auto &absence = m_absences[target.address.address];
    absence.span = std::clamp(absence.span * 2, m_options.absence, m_options.longestAbsence);
    absence.until = std::chrono::steady_clock::now() + absence.span;
}

void SidecarRanks::answered(const TargetEntry &target)
{
    m_absences.erase(target.address.address);
}

} // namespace Heatherridge
