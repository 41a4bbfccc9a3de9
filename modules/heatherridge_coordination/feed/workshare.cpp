#include "heatherridge_coordination/feed/workshare.h"

#include <xxhash.h>

namespace Heatherridge
{

WorkShare::WorkShare(ShareLog &log, Options options)
    : m_log(log)
    , m_options(std::move(options))
{
}

void WorkShare::tick(SteadyTime now)
{
    if (m_isCalling || m_hasLeft || now < m_due) {
        return;
    }
    m_due = now + m_options.period;
    m_isCalling = true;
    m_log.join(m_options.member, m_options.lease, m_share.generation,
               [this, now, restores = m_restores](Result<ShareAnswer> answer) {
                   if (restores != m_restores) {
                       return;
                   }
                   m_isCalling = false;
                   if (errorIn(answer) == nullptr) {
                       m_confirmedAt = now;
                       m_share = std::get<ShareAnswer>(std::move(answer));
                   }
               });
}

bool WorkShare::isMine(std::string_view work) const
{
    const auto part = XXH3_64bits(work.data(), work.size()) % static_cast<std::uint64_t>(m_options.parts);
    return !m_hasLeft && m_share.parts.contains(static_cast<int>(part));
}

std::optional<double> WorkShare::part() const
{
    if (!m_confirmedAt || m_options.parts <= 0) {
        return std::nullopt;
    }
    return m_hasLeft ? 0.0 : static_cast<double>(m_share.parts.size()) / m_options.parts;
}

std::optional<double> WorkShare::evenPart() const
{
    const auto own = part();
    return own && *own <= 0 && !m_hasLeft ? 1.0 / (m_options.parts + 1) : own;
}

bool WorkShare::isConfirmed(SteadyTime now) const
{
    return m_confirmedAt && now - *m_confirmedAt < m_options.lease;
}

void WorkShare::logRestored()
{
    ++m_restores;
    m_share.generation = 0; // the log counts on from an older one
    m_confirmedAt.reset();
    m_isCalling = false;
    m_due = {};
}

void WorkShare::leave()
{
    m_hasLeft = true;
    m_log.leave(m_options.member);
}

} // namespace Heatherridge
