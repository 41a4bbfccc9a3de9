#include "heatherridge_transport/http/httpclient.h"

#include "heatherridge_state/decisions/bufferbudget.h"
#include "heatherridge_transport/app/logger.h"
#include "heatherridge_transport/app/processhealth.h"
#include "heatherridge_transport/http/headsyntax.h"

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>

#include <cassert>
#include <mutex>
#include <unordered_map>

namespace Heatherridge
{

namespace
{

struct EasyDeleter
{
    void operator()(CURL *easy) const
    {
        curl_easy_cleanup(easy);
    }
};

struct ListDeleter
{
    void operator()(curl_slist *list) const
    {
        curl_slist_free_all(list);
    }
};

/** The memory that the response to one call takes, as a part of that of all calls. */
class HeldBytes
{
public:
    /** @param budget of all calls; null if there is none */
    explicit HeldBytes(std::shared_ptr<BufferBudget> budget)
        : m_budget(std::move(budget))
    {
    }

    ~HeldBytes()
    {
        if (m_budget) {
            m_budget->change(m_bytes, 0);
        }
    }

    HeldBytes(const HeldBytes &) = delete;
    HeldBytes &operator=(const HeldBytes &) = delete;

    /** Adds @p bytes. Returns whether they may be kept. */
    bool add(std::size_t bytes)
    {
        if (!m_budget) {
            return true;
        }
        m_budget->change(0, bytes);
        m_bytes += bytes;
        return m_bytes <= Assured || !m_budget->isExceeded();
    }

private:
    static constexpr std::size_t Assured = 64UL << 10U;

    std::shared_ptr<BufferBudget> m_budget;
    std::size_t m_bytes = 0;
};

/** A running call and its libcurl handle. */
struct Transfer
{
    explicit Transfer(std::shared_ptr<BufferBudget> budget)
        : held(std::move(budget))
    {
    }

    HttpClient::CallId id{};
    HttpClient::Call call{};
    HttpClient::Events events{};
    std::unique_ptr<CURL, EasyDeleter> easy{};
    std::unique_ptr<curl_slist, ListDeleter> headerList{};
    std::vector<HttpHeader> responseHeaders{};
    bool isHeadReported = false;
    bool isInHead = false; ///< of an interim or the final response
    bool endsWithConnection = false; ///< the body of the response has neither a length nor chunks
    bool isPaused = false;
    bool isCancelled = false;
    std::size_t headBytes = 0; ///< received, of all heads
    std::size_t bodyBytes = 0; ///< received
    HeldBytes held; ///< of a response that is collected
    std::string_view abortReason{}; ///< why the client ended the call; empty if it did not
};

/**
 * Runs @p callback for libcurl and returns its result, or @p ifFailed if it throws. An exception that passed through
 * libcurl would leave its handle locked, and no call would ever be made again.
 */
template<typename Callback, typename Value>
Value withoutException(const Callback &callback, Value ifFailed)
{
    try {
        return callback();
    } catch (const std::exception &exception) {
        reportHandlerFailure(exception);
        return ifFailed;
    }
}

std::size_t receiveBody(Transfer &transfer, std::string_view bytes)
{
    if (transfer.isCancelled) {
        return 0;
    }
    if (!transfer.isHeadReported) {
        transfer.abortReason = "response body without a final head";
        return CURL_WRITEFUNC_ERROR;
    }
    if (transfer.isPaused) {
        return CURL_WRITEFUNC_PAUSE;
    }
    transfer.bodyBytes += bytes.size();
    if (transfer.call.maxBodyBytes > 0 && transfer.bodyBytes > transfer.call.maxBodyBytes) {
        transfer.abortReason = "response body too large";
        return CURL_WRITEFUNC_ERROR;
    }
    constexpr std::size_t growthFactor = 2; // of a string that is appended to
    if (transfer.call.maxBodyBytes > 0 && !transfer.held.add(growthFactor * bytes.size())) {
        transfer.abortReason = "responses take too much memory";
        return CURL_WRITEFUNC_ERROR;
    }
    if (!transfer.events.data(bytes)) {
        transfer.isPaused = true;
    }
    return bytes.size();
}

std::size_t onBody(char *bytes, std::size_t size, std::size_t count, void *userData)
{
    return withoutException(
        [&] {
            return receiveBody(*static_cast<Transfer *>(userData), {bytes, size * count});
        },
        std::size_t{0});
}

/** Reports the final head of @p transfer, whose last line has arrived. */
void reportHead(Transfer &transfer)
{
    constexpr long firstFinalStatus = 200;
    long status = 0;
    curl_easy_getinfo(transfer.easy.get(), CURLINFO_RESPONSE_CODE, &status);
    if (status < firstFinalStatus || transfer.isHeadReported || transfer.isCancelled) {
        return;
    }
    const auto &headers = transfer.responseHeaders;
    transfer.isHeadReported = true;
    transfer.endsWithConnection = headerValue(headers, "Content-Length").empty()
        && headerValue(headers, "Transfer-Encoding").empty() && isBodyAllowed(static_cast<int>(status))
        && transfer.call.request.method != "HEAD";
    transfer.events.head(static_cast<int>(status), headers);
}

/** Adds a header or trailer. @returns whether @p line is well-formed; libcurl accepts any, and joins folded ones */
bool addHeader(Transfer &transfer, std::string_view line)
{
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    transfer.responseHeaders.push_back(
        {.name = std::string(line.substr(0, colon)), .value = std::string(trimmed(line.substr(colon + 1)))});
    return areHeadersWellFormed({transfer.responseHeaders.back()});
}

/** Collects the header lines and reports the response head once its final empty line arrives. */
std::size_t receiveHeadLine(Transfer &transfer, std::string_view line)
{
    transfer.headBytes += line.size();
    if (transfer.headBytes > HttpClient::MaxHeadBytes) {
        transfer.abortReason = "response head too large";
        return CURL_WRITEFUNC_ERROR;
    }
    constexpr std::size_t copies = 4; // of a vector that grows, its copy for the caller, and libcurl's own
    if (transfer.call.maxBodyBytes > 0 && !transfer.held.add(line.size() + copies * sizeof(HttpHeader))) {
        transfer.abortReason = "responses take too much memory";
        return CURL_WRITEFUNC_ERROR;
    }
    const auto content = line.substr(0, line.find_last_not_of("\r\n") + 1);
    const bool isStart = !transfer.isInHead && !transfer.isHeadReported;
    if (content.empty()) {
        transfer.isInHead = false;
        reportHead(transfer);
        transfer.responseHeaders.clear();
    } else if (isStart ? !isStatusLine(line) : !addHeader(transfer, content)) {
        transfer.abortReason = "malformed response head";
        return CURL_WRITEFUNC_ERROR;
    } else {
        transfer.isInHead = true;
    }
    return line.size();
}

std::size_t onHeader(char *bytes, std::size_t size, std::size_t count, void *userData)
{
    return withoutException(
        [&] {
            return receiveHeadLine(*static_cast<Transfer *>(userData), {bytes, size * count});
        },
        std::size_t{0});
}

/** Returns why a response that libcurl takes for complete is not, or an empty text. */
std::string_view incompleteReason(const Transfer &transfer)
{
    if (!transfer.isHeadReported) {
        return "connection closed before a final response head";
    }
    curl_off_t sent = 0;
    curl_easy_getinfo(transfer.easy.get(), CURLINFO_SIZE_UPLOAD_T, &sent);
    const bool isRequestSent = sent >= static_cast<curl_off_t>(transfer.call.request.body.size());
    return transfer.endsWithConnection && !isRequestSent ? "connection closed before the end of the request" : "";
}

/** Returns whether no part of the request can have reached the server. */
bool wasNeverSent(CURL *easy, CURLcode code)
{
    curl_off_t pretransfer = 0;
    curl_easy_getinfo(easy, CURLINFO_PRETRANSFER_TIME_T, &pretransfer);
    return code == CURLE_COULDNT_CONNECT || (code == CURLE_OPERATION_TIMEDOUT && pretransfer == 0);
}

void initialiseCurlOnce()
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

} // namespace

/** Drives libcurl's sockets and timer from the Asio loop. */
class HttpClient::Implementation : public std::enable_shared_from_this<HttpClient::Implementation>
{
public:
    Implementation(asio::io_context &loop, Options options)
        : m_loop(loop)
        , m_options(options)
        , m_budget(options.maxHeldBytes > 0 ? std::make_shared<BufferBudget>(options.maxHeldBytes) : nullptr)
        , m_timer(loop)
    {
        initialiseCurlOnce();
        m_multi = curl_multi_init();
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &Implementation::onSocket);
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &Implementation::onTimer);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, m_options.maxIdleConnections);
        if (m_options.maxConnectionsPerHost > 0) {
            curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS, m_options.maxConnectionsPerHost);
        }
    }

    ~Implementation()
    {
        assert(m_multi == nullptr);
    }

    void shutDown()
    {
        for (auto &[id, transfer] : m_transfers) {
            curl_multi_remove_handle(m_multi, transfer->easy.get());
        }
        m_transfers.clear();
        curl_multi_cleanup(m_multi);
        m_multi = nullptr;
        m_sockets.clear();
        m_unwatched.clear();
        m_timer.cancel();
    }

    CallId start(Call call, Events events)
    {
        auto transfer = std::make_unique<Transfer>(m_budget);
        transfer->id = static_cast<CallId>(++m_lastId);
        transfer->call = std::move(call);
        transfer->events = std::move(events);
        transfer->easy.reset(curl_easy_init());
        configure(*transfer);
        auto *easy = transfer->easy.get();
        const auto id = transfer->id;
        m_transfers.emplace(id, std::move(transfer));
        curl_multi_add_handle(m_multi, easy);
        return id;
    }

    void resume(CallId call)
    {
        const auto entry = m_transfers.find(call);
        if (entry == m_transfers.end() || !entry->second->isPaused) {
            return;
        }
        entry->second->isPaused = false;
        // Posted, because it must run outside of libcurl's callbacks: resuming may call the data callback immediately.
        asio::post(m_loop, [self = shared_from_this(), call] {
            const auto found = self->m_transfers.find(call);
            if (found != self->m_transfers.end() && !found->second->isCancelled) {
                curl_easy_pause(found->second->easy.get(), CURLPAUSE_CONT);
                self->processFinishedTransfers();
            }
        });
    }

    void cancel(CallId call)
    {
        const auto entry = m_transfers.find(call);
        if (entry == m_transfers.end()) {
            return;
        }
        entry->second->isCancelled = true;
        asio::post(m_loop, [self = shared_from_this(), call] { self->remove(call); });
    }

    std::size_t running() const
    {
        return m_transfers.size();
    }

    void setMaxIdleConnections(long maxIdleConnections)
    {
        if (maxIdleConnections != m_options.maxIdleConnections) {
            m_options.maxIdleConnections = maxIdleConnections;
            curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, maxIdleConnections);
        }
    }

private:
    void configure(Transfer &transfer)
    {
        auto *easy = transfer.easy.get();
        const auto &call = transfer.call;
        const auto &request = call.request;
        std::string url = "http://" + toString(call.endpoint) + request.path;
        if (!request.query.empty()) {
            url += "?" + request.query;
        }
        curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
        curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, call.reuseConnection ? 0L : 1L);
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(m_options.connectTimeout.count()));
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onBody);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &onHeader);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
        configureMethod(easy, request);
        configureHeaders(transfer);
    }

    static void configureMethod(CURL *easy, const HttpRequest &request)
    {
        if (request.method == "HEAD") {
            curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
            return;
        }
        const bool hasBody = !request.body.empty() || request.method == "POST" || request.method == "PUT";
        if (hasBody) {
            curl_easy_setopt(easy, CURLOPT_POST, 1L);
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.c_str());
        }
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    }

    static void configureHeaders(Transfer &transfer)
    {
        auto *list = curl_slist_append(nullptr, "Expect:");
        for (const auto &header : transfer.call.request.headers) {
            // An empty value needs a semicolon: libcurl treats "name:" as a request to remove the header.
            const auto line = header.value.empty() ? header.name + ";" : header.name + ": " + header.value;
            list = curl_slist_append(list, line.c_str());
        }
        transfer.headerList.reset(list);
        curl_easy_setopt(transfer.easy.get(), CURLOPT_HTTPHEADER, list);
    }

    static int onSocket(CURL * /*easy*/, curl_socket_t socket, int what, void *userData, void * /*socketData*/)
    {
        return withoutException(
            [&] {
                static_cast<Implementation *>(userData)->updateWatchedSocket(socket, what);
                return 0;
            },
            0);
    }

    static int onTimer(CURLM * /*multi*/, long timeoutMs, void *userData)
    {
        return withoutException(
            [&] {
                static_cast<Implementation *>(userData)->setTimer(timeoutMs);
                return 0;
            },
            0);
    }

    /** A socket owned by libcurl, watched for the events that libcurl requested. */
    struct WatchedSocket
    {
        explicit WatchedSocket(asio::io_context &loop)
            : descriptor(loop)
        {
        }

        ~WatchedSocket()
        {
            // libcurl owns the socket and closes it.
            if (descriptor.is_open()) {
                descriptor.release();
            }
        }

        WatchedSocket(const WatchedSocket &) = delete;
        WatchedSocket &operator=(const WatchedSocket &) = delete;

        asio::posix::stream_descriptor descriptor;
        bool wantRead = false;
        bool wantWrite = false;
        bool readPending = false;
        bool writePending = false;
    };

    void updateWatchedSocket(curl_socket_t socket, int what)
    {
        m_unwatched.erase(socket);
        if (what == CURL_POLL_REMOVE) {
            stopWatching(socket);
            return;
        }
        auto watched = watchedSocket(socket);
        if (!watched) {
            watchLater(socket, what);
            return;
        }
        watched->wantRead = what == CURL_POLL_IN || what == CURL_POLL_INOUT;
        watched->wantWrite = what == CURL_POLL_OUT || what == CURL_POLL_INOUT;
        startPendingWaits(socket, watched);
    }

    /** Returns the watch of @p socket, a new one if needed; null if the loop does not take the socket. */
    std::shared_ptr<WatchedSocket> watchedSocket(curl_socket_t socket)
    {
        if (const auto entry = m_sockets.find(socket); entry != m_sockets.end()) {
            return entry->second;
        }
        auto watched = std::make_shared<WatchedSocket>(m_loop);
        asio::error_code error;
        if (watched->descriptor.assign(socket, error)) {
            logEvent(Severity::Warning, "socket-not-watched", {{"reason", error.message()}});
            return nullptr;
        }
        m_sockets.emplace(socket, watched);
        return watched;
    }

    /** Attempts again to watch @p socket, unless libcurl has released it, or stated another wish, by then. */
    void watchLater(curl_socket_t socket, int what)
    {
        constexpr std::chrono::milliseconds delay{10};
        const auto timer = std::make_shared<asio::steady_timer>(m_loop, delay);
        m_unwatched[socket] = timer;
        timer->async_wait([self = shared_from_this(), timer, socket, what](const asio::error_code &error) {
            const auto entry = self->m_unwatched.find(socket);
            if (!error && entry != self->m_unwatched.end() && entry->second == timer) {
                self->m_unwatched.erase(entry);
                self->updateWatchedSocket(socket, what);
            }
        });
    }

    /** Releases @p socket immediately, although onSocketReady() may still hold its WatchedSocket: libcurl may reuse the
     * socket number for another call before onSocketReady() returns, and Asio throws if a descriptor is registered
     * twice. */
    void stopWatching(curl_socket_t socket)
    {
        const auto entry = m_sockets.find(socket);
        if (entry != m_sockets.end()) {
            entry->second->descriptor.release();
            m_sockets.erase(entry);
        }
    }

    void startPendingWaits(curl_socket_t socket, const std::shared_ptr<WatchedSocket> &watched)
    {
        if (watched->wantRead && !watched->readPending) {
            watched->readPending = true;
            watched->descriptor.async_wait(asio::posix::descriptor_base::wait_read,
                                           [this, self = shared_from_this(), socket,
                                            weak = std::weak_ptr(watched)](const asio::error_code &error) {
                                               onSocketReady(socket, weak, CURL_CSELECT_IN, error);
                                           });
        }
        if (watched->wantWrite && !watched->writePending) {
            watched->writePending = true;
            watched->descriptor.async_wait(asio::posix::descriptor_base::wait_write,
                                           [this, self = shared_from_this(), socket,
                                            weak = std::weak_ptr(watched)](const asio::error_code &error) {
                                               onSocketReady(socket, weak, CURL_CSELECT_OUT, error);
                                           });
        }
    }

    void onSocketReady(curl_socket_t socket, const std::weak_ptr<WatchedSocket> &weak, int event,
                       const asio::error_code &error)
    {
        const auto watched = weak.lock();
        if (!watched || m_multi == nullptr) {
            return;
        }
        auto &pending = event == CURL_CSELECT_IN ? watched->readPending : watched->writePending;
        const bool isWanted = event == CURL_CSELECT_IN ? watched->wantRead : watched->wantWrite;
        pending = false;
        if (error || !isWanted) {
            return;
        }
        int running = 0;
        curl_multi_socket_action(m_multi, socket, event, &running);
        processFinishedTransfers();
        const auto entry = m_sockets.find(socket);
        if (entry != m_sockets.end() && entry->second == watched) {
            startPendingWaits(socket, watched);
        }
    }

    void setTimer(long timeoutMs)
    {
        m_timer.cancel();
        if (timeoutMs < 0) {
            return;
        }
        m_timer.expires_after(std::chrono::milliseconds(timeoutMs));
        m_timer.async_wait([self = shared_from_this()](const asio::error_code &error) {
            if (!error && self->m_multi != nullptr) {
                int running = 0;
                curl_multi_socket_action(self->m_multi, CURL_SOCKET_TIMEOUT, 0, &running);
                self->processFinishedTransfers();
            }
        });
    }

    void processFinishedTransfers()
    {
        int remaining = 0;
        while (m_multi != nullptr) {
            const auto *message = curl_multi_info_read(m_multi, &remaining);
            if (message == nullptr) {
                return;
            }
            if (message->msg == CURLMSG_DONE) {
                // A callback that throws must not keep the other calls from ending.
                reportingFailures([&] { finish(message->easy_handle, message->data.result); });
            }
        }
    }

    void finish(CURL *easy, CURLcode code)
    {
        char *userData = nullptr;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, &userData);
        const auto id = reinterpret_cast<Transfer *>(userData)->id;
        Failure failure{.mayHaveArrived = !wasNeverSent(easy, code), .reason = curl_easy_strerror(code)};
        const auto transfer = remove(id);
        if (!transfer || transfer->isCancelled) {
            return;
        }
        if (!transfer->abortReason.empty()) {
            failure.reason = transfer->abortReason;
        }
        const auto incomplete = code == CURLE_OK ? incompleteReason(*transfer) : std::string_view();
        if (!incomplete.empty()) {
            failure.reason = incomplete;
        }
        if (code == CURLE_OK && incomplete.empty()) {
            transfer->events.finished();
        } else {
            transfer->events.failed(failure);
        }
    }

    std::unique_ptr<Transfer> remove(CallId call)
    {
        const auto entry = m_transfers.find(call);
        if (entry == m_transfers.end() || m_multi == nullptr) {
            return nullptr;
        }
        auto transfer = std::move(entry->second);
        m_transfers.erase(entry);
        curl_multi_remove_handle(m_multi, transfer->easy.get());
        return transfer;
    }

    asio::io_context &m_loop;
    Options m_options;
    std::shared_ptr<BufferBudget> m_budget; ///< null: unlimited
    asio::steady_timer m_timer;
    CURLM *m_multi = nullptr;
    std::uint64_t m_lastId = 0;
    std::unordered_map<CallId, std::unique_ptr<Transfer>> m_transfers;
    std::unordered_map<curl_socket_t, std::shared_ptr<WatchedSocket>> m_sockets;
    std::unordered_map<curl_socket_t, std::shared_ptr<asio::steady_timer>> m_unwatched; ///< that are attempted again
};

HttpClient::HttpClient(asio::io_context &loop, Options options)
    : m_implementation(std::make_shared<Implementation>(loop, options))
{
}

HttpClient::~HttpClient()
{
    m_implementation->shutDown();
}

HttpClient::CallId HttpClient::stream(Call call, Events events)
{
    return m_implementation->start(std::move(call), std::move(events));
}

HttpClient::CallId HttpClient::send(Call call, std::function<void(std::variant<HttpResponse, Failure>)> done,
                                    std::size_t maxBytes)
{
    struct ResponseCollector
    {
        HttpResponse response{};
        std::function<void(std::variant<HttpResponse, Failure>)> done{};
    };
    auto collector = std::make_shared<ResponseCollector>();
    collector->done = std::move(done);
    call.maxBodyBytes = maxBytes;
    return stream(std::move(call),
                  {.head =
                       [collector](int status, const std::vector<HttpHeader> &headers) {
                           collector->response.status = status;
                           collector->response.headers = headers;
                       },
                   .data =
                       [collector](std::string_view bytes) {
                           collector->response.body += bytes;
                           return true;
                       },
                   .finished = [collector] { collector->done(std::move(collector->response)); },
                   .failed = [collector](const Failure &failure) { collector->done(failure); }});
}

void HttpClient::resume(CallId call)
{
    m_implementation->resume(call);
}

void HttpClient::cancel(CallId call)
{
    m_implementation->cancel(call);
}

std::size_t HttpClient::running() const
{
    return m_implementation->running();
}

void HttpClient::setMaxIdleConnections(long maxIdleConnections)
{
    m_implementation->setMaxIdleConnections(maxIdleConnections);
}

} // namespace Heatherridge
