#include "heatherridge_transport/http/httpserver.h"

#include <restinio/all.hpp>

#include <future>
#include <mutex>
#include <stdexcept>
#include <unordered_map>

namespace Heatherridge
{

namespace
{

/** Number of requests of one connection that are read ahead. With only one, a caller's disconnect is not detected in
 * time. */
constexpr std::size_t MaxPipelinedRequests = 2;

/** Headers of one request, and trailers as well. As many fit into 16 KiB with names of one byte and no values; each
 * takes many times its text. Beyond, the connection is closed. */
constexpr std::size_t MaxFields = 4096;

/** Notifies exchanges when their connection closes. Thread-safe. */
class ConnectionCloseNotifier
{
public:
    void addListener(std::uint64_t connection, const std::function<void()> &closed)
    {
        const std::lock_guard lock(m_mutex);
        m_listeners[connection].push_back(closed);
    }

    void removeListeners(std::uint64_t connection)
    {
        const std::lock_guard lock(m_mutex);
        m_listeners.erase(connection);
    }

    /** Called by RESTinio, which requires this name. */
    void state_changed(const restinio::connection_state::notice_t &notice) noexcept
    {
        if (!std::holds_alternative<restinio::connection_state::closed_t>(notice.cause())) {
            return;
        }
        std::vector<std::function<void()>> listeners;
        {
            const std::lock_guard lock(m_mutex);
            const auto entry = m_listeners.find(notice.connection_id());
            if (entry == m_listeners.end()) {
                return;
            }
            listeners = std::move(entry->second);
            m_listeners.erase(entry);
        }
        for (const auto &listener : listeners) {
            listener();
        }
    }

private:
    std::mutex m_mutex;
    std::unordered_map<std::uint64_t, std::vector<std::function<void()>>> m_listeners;
};

/** Server traits; RESTinio requires the member names. */
struct ServerTraits : restinio::default_traits_t
{
    using connection_state_listener_t = ConnectionCloseNotifier;
    // NOLINTNEXTLINE(readability-identifier-naming)
    static constexpr bool use_connection_count_limiter = true;
};

using ChunkedBuilder = restinio::response_builder_t<restinio::chunked_output_t>;

std::string toStdString(restinio::string_view_t view)
{
    return {view.data(), view.size()};
}

HttpRequest convertRequest(const restinio::request_t &request)
{
    const auto &header = request.header();
    HttpRequest result{.method = std::string(header.method().c_str()),
                       .path = toStdString(header.path()),
                       .query = toStdString(header.query()),
                       .body = request.body()};
    header.for_each_field(
        [&result](const auto &field) { result.headers.push_back({.name = field.name(), .value = field.value()}); });
    return result;
}

class RestinioExchange final : public HttpExchange, public std::enable_shared_from_this<RestinioExchange>
{
public:
    RestinioExchange(std::shared_ptr<void> server, restinio::request_handle_t handle,
                     std::shared_ptr<ConnectionCloseNotifier> closeNotifier)
        : m_server(std::move(server))
        , m_handle(std::move(handle))
        , m_closeNotifier(std::move(closeNotifier))
        , m_request(convertRequest(*m_handle))
    {
    }

    ~RestinioExchange() override
    {
        // Without a response, or without the end of one, the caller would wait until the handle timeout.
        if (!m_finished && !m_stream) {
            m_handle->create_response(restinio::status_internal_server_error()).connection_close().done();
        } else if (!m_finished) {
            RestinioExchange::closeConnection();
        }
        m_closeNotifier->removeListeners(m_handle->connection_id());
    }

    const HttpRequest &request() const override
    {
        return m_request;
    }

    void onClosed(std::function<void()> closed) override
    {
        m_closeNotifier->addListener(m_handle->connection_id(), [weak = weak_from_this(), closed = std::move(closed)] {
            const auto exchange = weak.lock();
            if (exchange && !exchange->isFinished()) {
                closed();
            }
        });
    }

private:
    void sendResponse(HttpResponse response) override
    {
        const std::lock_guard lock(m_mutex);
        if (m_finished || m_stream) {
            return;
        }
        m_finished = true;
        if (isHeadRequest()) {
            auto head = m_handle->create_response<restinio::user_controlled_output_t>(statusLine(response.status));
            addHeaders(head, response.headers);
            head.set_content_length(response.body.size());
            head.done();
            return;
        }
        auto builder = m_handle->create_response(statusLine(response.status));
        addHeaders(builder, response.headers);
        builder.set_body(std::move(response.body));
        builder.done();
    }

    void sendStreamHead(int status, const std::vector<HttpHeader> &headers) override
    {
        const std::lock_guard lock(m_mutex);
        if (m_finished || m_stream) {
            return;
        }
        m_stream.emplace(m_handle->create_response<restinio::chunked_output_t>(statusLine(status)));
        addHeaders(*m_stream, headers);
        if (isHeadRequest()) {
            m_stream->connection_close(); // RESTinio ends a chunked response only with its last chunk
        }
    }

    void sendStreamBytes(std::string bytes, WriteCallback done) override
    {
        if (isHeadRequest()) {
            done(true); // its response has no body
            return;
        }
        const std::lock_guard lock(m_mutex);
        if (m_finished || !m_stream) {
            return;
        }
        m_stream->append_chunk(std::move(bytes));
        m_stream->flush([done = std::move(done)](const auto &error) { done(!error); });
    }

    void sendStreamEnd() override
    {
        if (isHeadRequest()) {
            closeConnection(); // after the head, without the last chunk
            return;
        }
        const std::lock_guard lock(m_mutex);
        if (!m_finished && m_stream) {
            m_finished = true;
            m_stream->done();
        }
    }

    void closeConnection() override
    {
        const std::lock_guard lock(m_mutex);
        if (m_finished) {
            return;
        }
        // A caller must not mistake a truncated response for a complete one. RESTinio closes the connection without the
        // final chunk if a write notificator throws; it offers no other way to do so.
        m_finished = true;
        const auto throwAfterWrite = [](const auto &error) {
            if (!error) {
                throw std::runtime_error("response aborted");
            }
        };
        if (m_stream) {
            m_stream->flush(throwAfterWrite);
            return;
        }
        const auto connection = std::move(restinio::impl::access_req_connection(*m_handle));
        restinio::write_group_t emptyGroup{restinio::writable_items_container_t{}};
        emptyGroup.after_write_notificator(throwAfterWrite);
        connection->write_response_parts(
            m_handle->request_id(),
            {restinio::response_parts_attr_t::not_final_parts, restinio::response_connection_attr_t::connection_close},
            std::move(emptyGroup));
    }

    bool isHeadRequest() const
    {
        return m_request.method == "HEAD";
    }

    bool isFinished()
    {
        const std::lock_guard lock(m_mutex);
        return m_finished;
    }

    static restinio::http_status_line_t statusLine(int status)
    {
        // Callers use only the status code; HTTP/1.1 allows any reason phrase.
        return {restinio::http_status_code_t(static_cast<std::uint16_t>(status)), status < 400 ? "OK" : "Error"};
    }

    template<typename Builder>
    static void addHeaders(Builder &builder, const std::vector<HttpHeader> &headers)
    {
        for (const auto &header : headers) {
            builder.append_header(header.name, header.value);
        }
    }

    /** Keeps the server alive, and is destroyed after the handle: closing a connection uses the server's loop, limits
     * and timers, so a handler that held an exchange beyond the server's lifetime, as a long poll does, accessed freed
     * memory. */
    std::shared_ptr<void> m_server;
    restinio::request_handle_t m_handle;
    std::shared_ptr<ConnectionCloseNotifier> m_closeNotifier;
    HttpRequest m_request;
    std::mutex m_mutex;
    std::optional<ChunkedBuilder> m_stream;
    bool m_finished = false;
};

} // namespace

class HttpServer::Implementation
{
public:
    using Server = restinio::http_server_t<ServerTraits>;
    using Runner = restinio::on_pool_runner_t<Server>;

    Implementation(Options options, Handler handler)
        : m_options(std::move(options))
        , m_handler(std::move(handler))
    {
    }

    Result<Endpoint> start()
    {
        Endpoint boundEndpoint{.address = m_options.listen.address};
        auto closeNotifier = std::make_shared<ConnectionCloseNotifier>();
        try {
            m_server = std::make_shared<Server>(restinio::own_io_context(), [&](auto &settings) {
                settings.address(m_options.listen.address)
                    .port(static_cast<std::uint16_t>(m_options.listen.port))
                    .request_handler([this, closeNotifier](auto request) {
                        m_handler(std::make_shared<RestinioExchange>(m_server, std::move(request), closeNotifier));
                        return restinio::request_accepted();
                    })
                    .connection_state_listener(closeNotifier)
                    // A chunked response is sent in several writes. With Nagle's algorithm the second waits for the
                    // caller's delayed acknowledgement of the first, which adds 40 ms to each response.
                    .socket_options_setter([](auto &options) { options.set_option(asio::ip::tcp::no_delay(true)); })
                    .acceptor_post_bind_hook(
                        [&boundEndpoint](auto &acceptor) { boundEndpoint.port = acceptor.local_endpoint().port(); })
                    .max_parallel_connections(m_options.maxConnections)
                    .max_pipelined_requests(MaxPipelinedRequests)
                    .concurrent_accepts_count(static_cast<std::size_t>(m_options.threads))
                    .read_next_http_message_timelimit(m_options.readTimeout)
                    .write_http_response_timelimit(m_options.writeTimeout)
                    .handle_request_timeout(m_options.handleTimeout)
                    .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                                  .max_body_size(m_options.maxBodyBytes)
                                                  .max_field_count(MaxFields)
                                                  .max_field_value_size(m_options.maxHeaderBytes));
            });
            m_runner = std::make_unique<Runner>(static_cast<std::size_t>(m_options.threads), *m_server);
            std::promise<std::exception_ptr> started;
            m_runner->start([&started]() noexcept { started.set_value(nullptr); },
                            [&started](std::exception_ptr error) noexcept { started.set_value(std::move(error)); });
            if (auto error = started.get_future().get()) {
                std::rethrow_exception(error);
            }
        } catch (const std::exception &exception) {
            return Error{.kind = ErrorKind::Internal,
                         .detail = "cannot listen on " + toString(m_options.listen) + ": " + exception.what()};
        }
        return boundEndpoint;
    }

    void stop()
    {
        if (m_runner && m_runner->started()) {
            m_runner->stop();
            m_runner->wait();
        }
        m_runner.reset();
    }

private:
    Options m_options;
    Handler m_handler;
    std::shared_ptr<Server> m_server;
    std::unique_ptr<Runner> m_runner;
};

HttpServer::HttpServer(Options options, Handler handler)
    : m_implementation(std::make_unique<Implementation>(std::move(options), std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    stop();
}

Result<Endpoint> HttpServer::start()
{
    return m_implementation->start();
}

void HttpServer::stop()
{
    m_implementation->stop();
}

} // namespace Heatherridge
