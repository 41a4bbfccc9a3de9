#include "heatherridge_coordination/answers/resumepoint.h"

namespace Heatherridge
{

ResumePoint::ResumePoint(Options options)
    : m_options(options)
{
}

void ResumePoint::addDeliveredToken(const Bytes &token)
{
    ++m_deliveredTokens;
    m_expectedPosition = m_deliveredTokens;
    m_recentBytes += token.size();
    m_recentTokens.push_back(token);
    while (m_recentTokens.size() > m_options.overlapTokens
           || (m_recentBytes > m_options.maxOverlapBytes && m_recentTokens.size() > 1)) {
        m_recentBytes -= m_recentTokens.front().size();
        m_recentTokens.pop_front();
    }
}

std::uint64_t ResumePoint::deliveredTokens() const
{
    return m_deliveredTokens;
}

std::uint64_t ResumePoint::beginResume()
{
    m_expectedPosition = m_deliveredTokens - m_recentTokens.size();
    return m_expectedPosition;
}

Result<std::optional<Bytes>> ResumePoint::acceptToken(std::uint64_t position, Bytes token)
{
    if (position != m_expectedPosition) {
        return Error{.kind = ErrorKind::StreamBroken, .detail = "the resumed stream skips or repeats a token"};
    }
    if (position < m_deliveredTokens) {
        if (m_recentTokens[m_recentTokens.size() - (m_deliveredTokens - position)] != token) {
            return Error{.kind = ErrorKind::StreamBroken,
                         .detail = "the resumed stream differs from the delivered tokens"};
        }
        ++m_expectedPosition;
        return std::optional<Bytes>{};
    }
    addDeliveredToken(token);
    return std::optional<Bytes>(std::move(token));
}

} // namespace Heatherridge
