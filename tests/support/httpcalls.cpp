#include "support/httpcalls.h"

#include <curl/curl.h>

#include <memory>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace Heatherridge
{

namespace
{

constexpr int PollMilliseconds = 100;

/** A running transfer. Its address must not change, because curl stores it. */
struct Transfer
{
    const HttpCall *call = nullptr;
    std::size_t index = 0;
    const CallProgress *progress = nullptr;
    HttpCallResult *answer = nullptr;
    CURL *handle = nullptr;
    curl_slist *headers = nullptr;

    ~Transfer()
    {
        curl_easy_cleanup(handle);
        curl_slist_free_all(headers);
    }
};

std::size_t onBody(char *data, std::size_t, std::size_t size, void *context)
{
    auto &transfer = *static_cast<Transfer *>(context);
    transfer.answer->body.append(data, size);
    const auto bytes = transfer.answer->body.size();
    if (*transfer.progress) {
        (*transfer.progress)(transfer.index, bytes);
    }
    const auto limit = transfer.call->disconnectAfterBytes;
    return limit != 0 && bytes >= limit ? 0 : size; // 0 makes curl close the connection
}

std::size_t onHeader(char *data, std::size_t, std::size_t size, void *context)
{
    const std::string_view line(data, size);
    if (const auto colon = line.find(':'); colon != std::string_view::npos) {
        auto value = trimmed(line.substr(colon + 1));
        value = value.substr(0, value.find('\n'));
        static_cast<Transfer *>(context)->answer->headers.push_back(
            {.name = std::string(line.substr(0, colon)), .value = std::string(trimmed(value))});
    }
    return size;
}

void prepare(Transfer &transfer)
{
    const auto &request = transfer.call->request;
    auto *handle = transfer.handle = curl_easy_init();
    const auto url = "http://" + toString(transfer.call->endpoint) + request.path
        + (request.query.empty() ? "" : "?" + request.query);
    for (const auto &header : request.headers) {
        transfer.headers = curl_slist_append(transfer.headers, (header.name + ": " + header.value).c_str());
    }
    transfer.headers = curl_slist_append(transfer.headers, "Expect:");
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    if (!request.body.empty() || request.method == "POST") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.c_str());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
    }
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, transfer.headers);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(transfer.call->timeout.count()));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, onHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_PRIVATE, &transfer);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
}

void finish(const CURLMsg &message)
{
    Transfer *transfer = nullptr;
    curl_easy_getinfo(message.easy_handle, CURLINFO_PRIVATE, &transfer);
    long status = 0;
    curl_easy_getinfo(message.easy_handle, CURLINFO_RESPONSE_CODE, &status);
    transfer->answer->status = static_cast<int>(status);
    transfer->answer->isComplete = message.data.result == CURLE_OK;
}

} // namespace

std::vector<HttpCallResult> callAll(const std::vector<HttpCall> &calls, const CallProgress &progress)
{
    std::vector<HttpCallResult> answers(calls.size());
    std::vector<std::unique_ptr<Transfer>> transfers;
    auto *multi = curl_multi_init();
    for (std::size_t index = 0; index < calls.size(); ++index) {
        transfers.push_back(std::make_unique<Transfer>());
        auto &transfer = *transfers.back();
        transfer.call = &calls[index];
        transfer.index = index;
        transfer.progress = &progress;
        transfer.answer = &answers[index];
        prepare(transfer);
        curl_multi_add_handle(multi, transfer.handle);
    }
    for (int running = 1; running > 0;) {
        curl_multi_perform(multi, &running);
        int remaining = 0;
        while (const auto *message = curl_multi_info_read(multi, &remaining)) {
            finish(*message);
        }
        if (running > 0) {
            curl_multi_poll(multi, nullptr, 0, PollMilliseconds, nullptr);
        }
    }
    for (const auto &transfer : transfers) {
        curl_multi_remove_handle(multi, transfer->handle);
    }
    curl_multi_cleanup(multi);
    return answers;
}

HttpCallResult call(const Endpoint &endpoint, const std::string &method, const std::string &target,
                    const std::string &body, const std::vector<HttpHeader> &headers)
{
    const auto queryStart = target.find('?');
    HttpRequest request{.method = method, .path = target.substr(0, queryStart), .headers = headers, .body = body};
    if (queryStart != std::string::npos) {
        request.query = target.substr(queryStart + 1);
    }
    return callAll({HttpCall{.endpoint = endpoint, .request = std::move(request)}}).front();
}

std::string sendRaw(const Endpoint &endpoint, const std::string &bytes, std::chrono::milliseconds readTimeout)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{.sin_family = AF_INET, .sin_port = htons(static_cast<std::uint16_t>(endpoint.port))};
    ::inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    const timeval limit{.tv_sec = readTimeout.count() / 1000, .tv_usec = readTimeout.count() % 1000 * 1000};
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    std::string answer;
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0
        && ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size())) {
        char buffer[4096];
        for (ssize_t byteCount = 0; (byteCount = ::recv(socket, buffer, sizeof buffer, 0)) > 0;) {
            answer.append(buffer, static_cast<std::size_t>(byteCount));
        }
    }
    ::close(socket);
    return answer;
}

} // namespace Heatherridge
