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
 * Tokens that a slow reader has not read yet are combined into one write; `max_tokens` bounds them.
 */
class EngineRequest : public std::enable_shared_from_this<EngineRequest>
{
public:
    /** The parameters of the request. */
    struct Options
    {
        std::string id{}; ///< identifies the request for cancellation
        std::string model{}; ///< echoed in the answer
        int priority = 0; ///< higher values start first
        std::uint64_t maxTokens = 16; ///< tokens of the whole answer
        std::uint64_t resumeFrom = 0; ///< number of tokens that the caller already has
        bool stream = false; ///< whether to answer with server-sent events
    };

    /** Runs a task on the loop's thread. */
    using Post = std::function<void(std::function<void()>)>;

    /** Creates a request with @p options and @p prompt that is answered through @p exchange. */
    EngineRequest(Options options, PromptText prompt, std::shared_ptr<HttpExchange> exchange, Post post);

    /** Returns the parameters of the request. */
    const Options &options() const;

    /** Returns the prompt. */
    const PromptText &prompt() const;

    /** Returns the number of tokens generated so far, including those before `resumeFrom`. */
    std::uint64_t progress() const;

    /** Returns whether all tokens have been generated. */
    bool isComplete() const;

    /** Generates the next token. */
    void generateToken();

    /** Completes the answer; @p cachedTokens is reported in the `usage` of an unstreamed one. */
    void finish(std::size_t cachedTokens);

    /** Closes the connection before the answer is complete. */
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
    std::string m_content; // content of an unstreamed answer
    std::string m_pending; // bytes of a stream not yet passed to the exchange
    bool m_streamStarted = false; // the response header was sent
    bool m_writing = false;
    bool m_ending = false;
};

} // namespace Heatherridge
