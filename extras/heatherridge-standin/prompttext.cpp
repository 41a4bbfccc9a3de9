#include "prompttext.h"

#include <xxhash.h>

#include <array>
#include <utility>

namespace Heatherridge
{

namespace
{

/** Token texts with characters that faulty escaping corrupts. */
constexpr std::array<const char *, 8> TokenTexts = {"oak",     "chips ",  "\"dry\" ", "Sicilia\n",
                                                    "perché ", "\\load ", "é",        "yard "};

std::string toText(const nlohmann::json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

} // namespace

PromptText PromptText::fromRequest(const nlohmann::json &request)
{
    std::string text;
    if (const auto messages = request.find("messages"); messages != request.end() && messages->is_array()) {
        for (const auto &message : *messages) {
            if (message.is_object()) {
                text += toText(message.value("role", nlohmann::json("user"))) + ':'
                    + toText(message.value("content", nlohmann::json(""))) + '\n';
            }
        }
    }
    return PromptText(std::move(text));
}

PromptText::PromptText(std::string text)
    : m_text(std::move(text))
    , m_hash(XXH64(m_text.data(), m_text.size(), 0))
{
}

const std::string &PromptText::text() const
{
    return m_text;
}

std::size_t PromptText::tokens() const
{
    return m_text.size() / BytesPerToken + 1;
}

std::vector<std::uint64_t> PromptText::blocks() const
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t hash = 0;
    for (std::size_t start = 0; start + BytesPerBlock <= m_text.size(); start += BytesPerBlock) {
        hash = XXH64(m_text.data() + start, BytesPerBlock, hash);
        hashes.push_back(hash);
    }
    return hashes;
}

std::string PromptText::answerToken(std::uint64_t index) const
{
    const auto tokenHash = XXH64(&index, sizeof index, m_hash);
    return std::to_string(tokenHash % 1000) + TokenTexts[(tokenHash >> 32U) % TokenTexts.size()];
}

} // namespace Heatherridge
