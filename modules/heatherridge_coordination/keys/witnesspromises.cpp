#include "heatherridge_coordination/keys/witnesspromises.h"

#include <algorithm>

namespace Heatherridge
{

WitnessPromises::WitnessPromises(std::chrono::milliseconds retention, KeySafeguards safeguards)
    : m_retention(retention)
    , m_safeguards(safeguards)
{
}

std::optional<ActivateReply> WitnessPromises::activate(const ActivateRequest &request, WallTime now)
{
    auto *promise = findOrCreatePromise(request.claim, now);
    if (promise == nullptr || (promise->frozen && m_safeguards.witnessesFrozen)) {
        return std::nullopt;
    }
    promise->activatedUntil = std::max(promise->activatedUntil.value_or(request.until), request.until);
    return ActivateReply{.claim = request.claim, .until = request.until};
}

std::optional<RevokeReply> WitnessPromises::revoke(const RevokeRequest &request, WallTime now)
{
    auto *promise = findOrCreatePromise(request.claim, now);
    if (promise == nullptr) {
        return std::nullopt;
    }
    promise->frozen = true;
    return RevokeReply{.claim = request.claim, .activatedUntil = promise->activatedUntil};
}

WitnessPromises::Promise *WitnessPromises::findOrCreatePromise(const ClaimId &claim, WallTime now)
{
    const auto known = m_promises.find(claim);
    if (known != m_promises.end()) {
        known->second.lastUsed = now;
        return &known->second;
    }
    std::erase_if(m_promises, [&](const auto &entry) { return entry.second.lastUsed + m_retention < now; });
    if (m_promises.size() >= MaxClaims) {
        return nullptr;
    }
    return &m_promises.emplace(claim, Promise{.lastUsed = now}).first->second;
}

} // namespace Heatherridge
