#pragma once

#include "heatherridge_transport/http/httpmessages.h"

#include "heatherridge_state/heatherridge_state.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace Heatherridge
{

/** One call that a test makes as a caller would. */
struct HttpCall
{
    Endpoint endpoint{};
    HttpRequest request{};
    std::chrono::milliseconds timeout{60'000};
    std::size_t disconnectAfterBytes =
        0; ///< close the connection once so much of the body has come; 0 reads to the end
};

/** What came back. */
struct HttpCallResult
{
    int status = 0; ///< 0 when no answer came
    bool isComplete = false; ///< the answer ended as HTTP says it must
    std::vector<HttpHeader> headers{};
    std::string body{};
};

/** Told after each piece of an answer: the place of its call and the bytes of body so far. */
using CallProgress = std::function<void(std::size_t call, std::size_t bytes)>;

/** Makes all @p calls at the same time, on the calling thread, with libcurl. @returns the answers in the same order. */
std::vector<HttpCallResult> callAll(const std::vector<HttpCall> &calls, const CallProgress &progress = {});

/** Makes one call. */
HttpCallResult call(const Endpoint &endpoint, const std::string &method, const std::string &target,
                    const std::string &body = {}, const std::vector<HttpHeader> &headers = {});

/** Sends @p bytes as they are over one connection and reads until the other side closes it or falls silent for
 * @p readTimeout. */
std::string sendRaw(const Endpoint &endpoint, const std::string &bytes, std::chrono::milliseconds readTimeout);

} // namespace Heatherridge
