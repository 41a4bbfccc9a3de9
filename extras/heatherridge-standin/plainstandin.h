#pragma once

#include "standin.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Heatherridge
{

/**
 * A plain service that takes bookings and checks nothing.
 *
 * Every call but GET and HEAD is an execution and is counted by the body's field `reference`, or by the whole body when
 * there is none: two executions of one booking show as 2 in `GET /executions`. `GET /availability/...` and
 * `GET /contracts/...` change nothing. Any other method and path is answered too.
 */
class PlainStandIn final : public StandIn
{
public:
    /** A service without bookings. */
    explicit PlainStandIn(EventLoop &loop);

protected:
    void serve(const std::shared_ptr<HttpExchange> &exchange) override;

private:
    void handleCall(const std::shared_ptr<HttpExchange> &exchange);
    void handleExecution(const std::shared_ptr<HttpExchange> &exchange);
    void handleLookup(const std::shared_ptr<HttpExchange> &exchange);

    std::map<std::string, std::uint64_t> m_executions;
    std::vector<std::shared_ptr<HttpExchange>> m_heldExchanges; // never answered, by the fault `hang`
};

} // namespace Heatherridge
