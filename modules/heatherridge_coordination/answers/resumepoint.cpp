#include "heatherridge_coordination/answers/resumepoint.h"

namespace Heatherridge
{

ResumePoint::ResumePoint(Options options)
    : m_options(options)
{
}

void ResumePoint::passedOn(const Bytes &token)
{
    ++m_tokens;
    m_expected = m_tokens;
    m_tailBytes += token.size();
    m_tail.push_back(token);
    while (m_tail.size() > m_options.overlapTokens || (m_tailBytes > m_options.maxOverlapBytes && m_tail.size() > 1)) {
        m_tailBytes -= m_tail.front().size();
        m_tail.pop_front();
    }
}

std::uint64_t ResumePoint::tokens() const
{
    return m_tokens;
}

std::uint64_t ResumePoint::beginResume()
{
    m_expected = m_tokens - m_tail.size();
    return m_expected;
}

Result<std::optional<Bytes>> ResumePoint::take(std::uint64_t position, Bytes token)
{
    if (position != m_expected) {
        return Error{.kind = ErrorKind::StreamBroken, .detail = "the resumed stream skips or repeats a token"};
    }
    if (position < m_tokens) {
        if (m_tail[m_tail.size() - (m_tokens - position)] != token) {
            return Error{.kind = ErrorKind::StreamBroken, .detail = "the resumed stream differs"};
        }
        ++m_expected;
        return std::optional<Bytes>{};
    }
    passedOn(token);
    return std::optional<Bytes>(std::move(token));
}

} // namespace Heatherridge
