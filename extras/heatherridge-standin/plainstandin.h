#pragma once

#include "standin.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Heatherridge
{

/**
 * A simple booking service without any validation.
 *
 * Every call except GET and HEAD is an execution. Executions are counted per value of the body's field `reference`, or
 * per whole body if there is none: two executions of one booking appear as 2 in `GET /executions`.
 * `GET /availability/...` and `GET /contracts/...` change nothing. All other methods and paths are answered too.
 */
class PlainStandIn final : public StandIn
{
public:
    /** Creates a service without bookings. */
    explicit PlainStandIn(EventLoop &loop);

protected:
    void serve(const std::shared_ptr<HttpExchange> &exchange) override;

private:
    void handleCall(const std::shared_ptr<HttpExchange> &exchange);
    void handleExecution(const std::shared_ptr<HttpExchange> &exchange);
    void handleLookup(const std::shared_ptr<HttpExchange> &exchange);

    std::map<std::string, std::uint64_t> m_executions;
    std::vector<std::shared_ptr<HttpExchange>> m_heldExchanges; // unanswered due to the fault `hang`
};

} // namespace Heatherridge
