#pragma once

#include "heatherridge_transport/http/httpexchange.h"

#include <functional>
#include <memory>

namespace Heatherridge
{

class CallerConnection;
struct CallerServerState;

/** The exchange for the current request of a CallerConnection. Used only on the loop's thread. */
class CallerExchange final : public HttpExchange
{
public:
    CallerExchange(std::shared_ptr<CallerConnection> connection, HttpRequest request);
    ~CallerExchange() override;

    const HttpRequest &request() const override;
    void onClosed(std::function<void()> closed) override;

    /** Called when the caller disconnects before the end of the response. */
    void onCallerDisconnected();

private:
    void sendResponse(HttpResponse response) override;
    void sendStreamHead(int status, const std::vector<HttpHeader> &headers) override;
    void sendStreamBytes(std::string bytes, WriteCallback done) override;
    void sendStreamEnd() override;
    void closeConnection() override;
    void recordOutOfOrder() override;
    void finish(bool keepAlive);

    std::shared_ptr<CallerConnection> m_connection; ///< null once the response has ended
    std::shared_ptr<CallerServerState> m_server;
    HttpRequest m_request;
    std::function<void()> m_onClosed;
    bool m_keepAlive = true;
    bool m_isChunked = true;
};

} // namespace Heatherridge
