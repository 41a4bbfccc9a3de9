#include "enginerequest.h"

#include <algorithm>
#include <utility>

namespace Heatherridge
{

EngineRequest::EngineRequest(Options options, PromptText prompt, std::shared_ptr<HttpExchange> exchange, Post post)
    : m_options(std::move(options))
    , m_prompt(std::move(prompt))
    , m_exchange(std::move(exchange))
    , m_post(std::move(post))
    , m_progress(std::min(m_options.resumeFrom, m_options.maxTokens))
{
}

const EngineRequest::Options &EngineRequest::options() const
{
    return m_options;
}

const PromptText &EngineRequest::prompt() const
{
    return m_prompt;
}

std::uint64_t EngineRequest::progress() const
{
    return m_progress;
}

bool EngineRequest::isComplete() const
{
    return m_progress >= m_options.maxTokens;
}

void EngineRequest::generateToken()
{
    const auto token = m_prompt.answerToken(m_progress++);
    if (m_options.stream) {
        send(formatChunk(token, false));
    } else {
        m_content += token;
    }
}

void EngineRequest::finish(std::size_t cachedTokens)
{
    if (m_options.stream) {
        m_ending = true;
        send(formatChunk({}, true) + "data: [DONE]\n\n");
        return;
    }
    const nlohmann::json message{{"role", "assistant"}, {"content", m_content}};
    const nlohmann::json answer{{"id", m_options.id},
                                {"object", "chat.completion"},
                                {"model", m_options.model},
                                {"choices", {{{"index", 0}, {"message", message}, {"finish_reason", "stop"}}}},
                                {"usage",
                                 {{"prompt_tokens", m_prompt.tokens()},
                                  {"completion_tokens", m_progress},
                                  {"total_tokens", m_prompt.tokens() + m_progress},
                                  {"cached_tokens", cachedTokens}}}};
    m_exchange->respond(
        HttpResponse{.headers = {{.name = "Content-Type", .value = "application/json"}}, .body = answer.dump()});
}

void EngineRequest::abortResponse()
{
    m_pending.clear();
    if (m_exchange) {
        m_exchange->abort();
        m_exchange.reset();
    }
}

std::string EngineRequest::formatChunk(const std::string &token, bool last) const
{
    const auto delta = last ? nlohmann::json::object() : nlohmann::json{{"content", token}};
    const auto reason = last ? nlohmann::json("stop") : nlohmann::json();
    const nlohmann::json body{{"id", m_options.id},
                              {"object", "chat.completion.chunk"},
                              {"model", m_options.model},
                              {"choices", {{{"index", 0}, {"delta", delta}, {"finish_reason", reason}}}}};
    return "data: " + body.dump() + "\n\n";
}

void EngineRequest::send(const std::string &bytes)
{
    if (!m_exchange) {
        return;
    }
    if (!m_streamStarted) {
        m_streamStarted = true;
        m_exchange->beginStream(200, {{.name = "Content-Type", .value = "text/event-stream"}});
    }
    m_pending += bytes;
    flush();
}

void EngineRequest::flush()
{
    if (m_writing || !m_exchange) {
        return;
    }
    if (m_pending.empty()) {
        if (m_ending) {
            m_exchange->end();
            m_exchange.reset();
        }
        return;
    }
    m_writing = true;
    m_exchange->write(std::exchange(m_pending, {}), [self = shared_from_this()](bool) {
        self->m_post([self] {
            self->m_writing = false;
            self->flush();
        });
    });
}

} // namespace Heatherridge
