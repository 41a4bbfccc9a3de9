#pragma once

#include "heatherridge_transport/http/httpmessages.h"

#include "heatherridge_state/heatherridge_state.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace Heatherridge
{

/** A call that a test makes in the role of a caller. */
struct HttpCall
{
    Endpoint endpoint{};
    HttpRequest request{};
    std::chrono::milliseconds timeout{60'000};
    std::size_t disconnectAfterBytes = 0; ///< closes the connection after this many body bytes; 0: reads to the end
};

/** Result of an HttpCall. */
struct HttpCallResult
{
    int status = 0; ///< 0 if no response arrived
    bool isComplete = false; ///< whether the response ended as HTTP requires
    std::vector<HttpHeader> headers{};
    std::string body{};
};

/** Called after each piece of a response with the index of its call and the body bytes received so far. */
using CallProgress = std::function<void(std::size_t call, std::size_t bytes)>;

/** Makes all @p calls concurrently on the calling thread, with libcurl. @returns the results in the same order */
std::vector<HttpCallResult> callAll(const std::vector<HttpCall> &calls, const CallProgress &progress = {});

/** Makes one call and returns its result. */
HttpCallResult call(const Endpoint &endpoint, const std::string &method, const std::string &target,
                    const std::string &body = {}, const std::vector<HttpHeader> &headers = {});

/** Sends @p bytes unchanged over a new connection and reads until the peer closes it or sends nothing for
 * @p readTimeout. @returns the bytes received */
std::string sendRaw(const Endpoint &endpoint, const std::string &bytes, std::chrono::milliseconds readTimeout);

} // namespace Heatherridge
