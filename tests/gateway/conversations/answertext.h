#pragma once

#include "gateway/conversations/conversationplan.h"

#include <cstddef>
#include <limits>
#include <optional>
#include <string>

namespace Heatherridge
{

/** What a target writes in answer to one request, and what a reader of it may conclude. */
struct AnswerText
{
    static constexpr auto Never = std::numeric_limits<std::size_t>::max();

    std::string bytes{};
    std::string body{}; ///< that a reader gets; empty where the answer has none
    std::size_t bodyStart = 0; ///< position in `bytes`
    std::size_t wholeAt = Never; ///< number of bytes after which a reader knows that the answer is whole
    bool endsWithConnection = false; ///< the end of the connection is the end of the answer
    bool isChunked = false;

    /** Returns the part of `body` that is contained in the first @p size of `bytes`, or more of it in chunks. */
    std::string bodyWithin(std::size_t size) const;
};

/** The headers by which an answer is known. */
struct AnswerHeaders
{
    int status = 200;
    std::string id{}; ///< of the request; empty: none
    std::string signature{}; ///< empty: none
    bool isRefusal = false; ///< says that the request has not run
};

/** Returns the answer that @p plan describes to a request with @p method; only an answer with a body shows @p body. */
AnswerText answerText(const AnswerPlan &plan, const AnswerHeaders &headers, const std::string &method,
                      const std::string &body);

/** Returns @p bytes as one chunk. */
std::string chunkOf(const std::string &bytes);

/** Returns the event with number @p event of the stream for request @p id, as sent in attempt @p attempt. */
std::string streamEvent(const std::string &id, int event, int attempt, const AnswerPlan &plan);

/** Returns the part of that event which tells its number; it is there also in an event without id. */
std::string eventMark(std::uint64_t event);

} // namespace Heatherridge
