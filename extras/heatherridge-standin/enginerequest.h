#pragma once

#include "heatherridge_transport/http/httpserver.h"
#include "prompttext.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Heatherridge
{

/**
 * One chat completion in the stand-in engine, from its arrival to its last byte. Loop thread only.
 *
 * Tokens that a slow reader has not taken yet are gathered into one write; they are bounded by `max_tokens`.
 */
class EngineRequest : public std::enable_shared_from_this<EngineRequest>
{
public:
    /** What the caller asked for. */
    struct Options
    {
        std::string id{}; ///< names the request for cancels
        std::string model{}; ///< repeated in the answer
        int priority = 0; ///< higher is begun first
        std::uint64_t maxTokens = 16; ///< tokens of the whole answer
        std::uint64_t resumeFrom = 0; ///< tokens that the caller has already
        bool stream = false; ///< as server-sent events
    };

    /** Runs a task on the loop's thread. */
    using Post = std::function<void(std::function<void()>)>;

    /** The request @p options with @p prompt that is answered through @p exchange. */
    EngineRequest(Options options, PromptText prompt, std::shared_ptr<HttpExchange> exchange, Post post);

    /** What was asked for. */
    const Options &options() const;

    /** The prompt. */
    const PromptText &prompt() const;

    /** Tokens of the answer so far, those before `resumeFrom` included. */
    std::uint64_t progress() const;

    /** Whether no token is left to make. */
    bool isComplete() const;

    /** Makes the next token. */
    void generateToken();

    /** Sends the end of a complete answer; @p cachedTokens is told in `usage`. */
    void finish(std::size_t cachedTokens);

    /** Closes the connection in the middle of the answer. */
    void abortResponse();

private:
    std::string formatChunk(const std::string &token, bool last) const;
    void send(const std::string &bytes);
    void flush();

    Options m_options;
    PromptText m_prompt;
    std::shared_ptr<HttpExchange> m_exchange;
    Post m_post;
    std::uint64_t m_progress = 0;
    std::string m_content; // of an answer in whole
    std::string m_pending; // of a stream, not yet given to the exchange
    bool m_streamStarted = false; // the head of the stream was sent
    bool m_writing = false;
    bool m_ending = false;
};

} // namespace Heatherridge
