#pragma once

#include "logstream.h"
#include "standin.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Heatherridge
{

/**
 * The platform's append-only log.
 *
 * `POST /streams/NAME/records` appends the body and answers `{"offset":N}`. `GET /streams/NAME/records` with `from`,
 * `most` and `wait-ms` answers a page as a CBOR map `{first, last, records: [{o, t, p}]}`. The first append
 * creates a stream, at offset 1.
 */
class LogStandIn final : public StandIn
{
public:
    /** Creates an empty log. */
    explicit LogStandIn(EventLoop &loop);

protected:
    void serve(const std::shared_ptr<HttpExchange> &exchange) override;

private:
    struct PendingRead
    {
        std::shared_ptr<HttpExchange> exchange{};
        std::uint64_t from = 1;
        std::size_t maxRecords = 0;
    };

    void dispatch(const std::shared_ptr<HttpExchange> &exchange);
    void append(const std::string &name, const std::shared_ptr<HttpExchange> &exchange);
    void read(const std::string &name, const std::shared_ptr<HttpExchange> &exchange);
    void respondPage(const std::string &name, const PendingRead &pendingRead);
    void notifyPendingReads(const std::string &name);
    LogStream::Retention retention() const;

    std::map<std::string, LogStream> m_streams;
    std::map<std::string, std::vector<std::shared_ptr<PendingRead>>> m_pendingReads; // exchange is null once answered
    std::vector<std::shared_ptr<HttpExchange>> m_heldExchanges; // unanswered due to the fault `hang`
    std::chrono::steady_clock::time_point m_nextAppendTime{}; // earliest time at which the rate allows another append
};

} // namespace Heatherridge
