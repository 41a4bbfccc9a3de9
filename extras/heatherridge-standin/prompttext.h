#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Heatherridge
{

/**
 * The prompt of one chat request and the answer that the stand-in engine generates for it.
 *
 * The answer depends on the prompt alone, so a test can check byte by byte whether a caller received the whole answer
 * to its own request. Value type.
 */
class PromptText
{
public:
    /** Bytes of prompt per token of prefill. */
    static constexpr std::size_t BytesPerToken = 4;
    /** Bytes of prompt per block of the prefix cache. */
    static constexpr std::size_t BytesPerBlock = 64;

    /** Creates the prompt from the messages of @p request, a chat completion request. Never fails. */
    static PromptText fromRequest(const nlohmann::json &request);

    /** Creates a prompt with the given @p text. */
    explicit PromptText(std::string text);

    /** Returns the prompt as one text: for each message its role, a colon, its content and a line feed. */
    const std::string &text() const;

    /** Returns the number of prefill tokens. */
    std::size_t tokens() const;

    /** Returns the hashes of all complete blocks from the start; each also covers all bytes before its block. */
    std::vector<std::uint64_t> blocks() const;

    /** Returns token @p index of the answer. */
    std::string answerToken(std::uint64_t index) const;

private:
    std::string m_text;
    std::uint64_t m_hash = 0;
};

} // namespace Heatherridge
