#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Heatherridge
{

/**
 * The prompt of one chat request and what the stand-in engine makes of it.
 *
 * The answer is a function of the prompt alone, so that a test can tell byte for byte whether a caller was given the
 * whole answer to its own request. Value type.
 */
class PromptText
{
public:
    /** Bytes of prompt that make one token of prefill. */
    static constexpr std::size_t BytesPerToken = 4;
    /** Bytes of prompt in one block of the prefix cache. */
    static constexpr std::size_t BytesPerBlock = 64;

    /** The prompt of the messages in @p request, a chat completion request. Never fails. */
    static PromptText fromRequest(const nlohmann::json &request);

    /** The prompt @p text. */
    explicit PromptText(std::string text);

    /** The prompt as one text: for each message its role, a colon, its content and a line feed. */
    const std::string &text() const;

    /** Tokens of prefill. */
    std::size_t tokens() const;

    /** Hashes of the whole blocks from the start on; each covers all bytes before it as well. */
    std::vector<std::uint64_t> blocks() const;

    /** Token @p index of the answer. */
    std::string answerToken(std::uint64_t index) const;

private:
    std::string m_text;
    std::uint64_t m_hash = 0;
};

} // namespace Heatherridge
