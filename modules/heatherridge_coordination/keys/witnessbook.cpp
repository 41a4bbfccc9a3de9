#include "heatherridge_coordination/keys/witnessbook.h"

#include <algorithm>

namespace Heatherridge
{

WitnessBook::WitnessBook(std::chrono::milliseconds keepFor, KeySafeguards safeguards)
    : m_keepFor(keepFor)
    , m_safeguards(safeguards)
{
}

std::optional<ActivateReply> WitnessBook::activate(const ActivateRequest &request, WallTime now)
{
    auto *promise = promiseFor(request.claim, now);
    if (promise == nullptr || (promise->frozen && m_safeguards.witnessesFrozen)) {
        return std::nullopt;
    }
    promise->activatedUntil = std::max(promise->activatedUntil.value_or(request.until), request.until);
    return ActivateReply{.claim = request.claim, .until = request.until};
}

std::optional<RevokeReply> WitnessBook::revoke(const RevokeRequest &request, WallTime now)
{
    auto *promise = promiseFor(request.claim, now);
    if (promise == nullptr) {
        return std::nullopt;
    }
    promise->frozen = true;
    return RevokeReply{.claim = request.claim, .activatedUntil = promise->activatedUntil};
}

WitnessBook::Promise *WitnessBook::promiseFor(const ClaimId &claim, WallTime now)
{
    const auto known = m_promises.find(claim);
    if (known != m_promises.end()) {
        known->second.made = now;
        return &known->second;
    }
    std::erase_if(m_promises, [&](const auto &entry) { return entry.second.made + m_keepFor < now; });
    if (m_promises.size() >= MaxClaims) {
        return nullptr;
    }
    return &m_promises.emplace(claim, Promise{.made = now}).first->second;
}

} // namespace Heatherridge
