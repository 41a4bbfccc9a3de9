#include "heatherridge_coordination/keys/claimmanager.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

/** Claims whose promises are kept: the one in force, the one in flight, and some for which promises arrive late. */
constexpr std::size_t MaxTrackedClaims = 16;

} // namespace

ClaimManager::ClaimManager(GateId self, Options options)
    : m_self(std::move(self))
    , m_options(options)
{
}

void ClaimManager::setPlacement(KeyPlacement placement)
{
    m_placement = std::move(placement);
    std::erase(m_placement.witnesses, m_self);
}

const KeyPlacement &ClaimManager::placement() const
{
    return m_placement;
}

bool ClaimManager::canAnnounce(const KeyLedger &ledger) const
{
    return ledger.isHolder(m_self) && !isReleased(ledger.claim()->claim.id);
}

bool ClaimManager::canRunWithoutLog(const KeyLedger &ledger, WallTime time) const
{
    const auto active = activeClaim(ledger);
    if (!active) {
        return false;
    }
    const auto floor = active == m_handedOverClaim ? std::max(m_handedOverFloor, ledger.floor()) : ledger.floor();
    if (time < floor) {
        return false;
    }
    if (!m_options.safeguards.witnessesAsked) {
        return true;
    }
    // A claim that was not read back may be in the log all the same. A successor would then ask its witnesses, not
    // those of the claim before it.
    const bool isInFlightPromised =
        !m_claimInFlight || !m_options.safeguards.claimsInFlightCount || isPromised(*m_claimInFlight, time);
    return isPromised(active->claim, time) && isInFlightPromised;
}

std::optional<KeyClaim> ClaimManager::nextClaim(const KeyLedger &ledger, WallTime now)
{
    if (m_claimInFlight || !m_placement.shouldHold || !m_placement.accepting) {
        return std::nullopt;
    }
    if (!ledger.isComplete()) {
        auto claim =
            makeClaim(ledger.appliedOffset(), std::max(now + m_options.tolerance, ledger.latestPendingClaimEnd()), now);
        claim.afterLoss = true;
        return m_claimInFlight = claim;
    }
    const auto &current = ledger.claim();
    if (!current) {
        return m_claimInFlight = makeClaim(LogOffset{}, WallTime{}, now);
    }
    if (canAnnounce(ledger)) {
        return isRenewalDue(current->claim, now) ? m_claimInFlight = makeClaim(current->offset, WallTime{}, now)
                                                 : std::nullopt;
    }
    const auto floor = takeOverFloor(*current, now);
    if (!floor) {
        return std::nullopt;
    }
    return m_claimInFlight = makeClaim(current->offset, m_options.safeguards.floorRaised ? *floor : WallTime{}, now);
}

void ClaimManager::confirmClaimReadBack()
{
    m_claimInFlight.reset();
}

std::vector<OutgoingKeyMessage> ClaimManager::pendingRequests(const KeyLedger &ledger, WallTime now,
                                                              bool logAvailable) const
{
    std::vector<OutgoingKeyMessage> messages;
    const auto active = activeClaim(ledger);
    if (active && !logAvailable) {
        addActivateRequests(messages, active->claim, now);
        if (m_claimInFlight) {
            addActivateRequests(messages, *m_claimInFlight, now);
        }
    }
    const auto &current = ledger.claim();
    if (active || !current || !m_placement.shouldHold || !m_placement.accepting) {
        return messages;
    }
    const auto &claim = current->claim;
    const auto holder = releasedTo(ledger).value_or(claim.id.holder);
    if (holder != m_self && !m_acceptedHandOvers.contains(claim.id)) {
        messages.push_back(
            {.to = holder, .message = ReleaseRequest{.claim = claim.id, .withOfflineRight = !logAvailable}});
    }
    if (logAvailable) {
        for (const auto &witness : claim.witnesses) {
            messages.push_back({.to = witness, .message = RevokeRequest{.claim = claim.id}});
        }
    }
    return messages;
}

void ClaimManager::handleReply(const GateId &from, const ActivateReply &reply)
{
    auto &until = m_promises[reply.claim][from];
    until = std::max(until, reply.until);
    while (m_promises.size() > MaxTrackedClaims) {
        m_promises.erase(m_promises.begin()); // safe: without the promise keys are refused, and it is requested again
    }
}

void ClaimManager::handleReply(const GateId &from, const RevokeReply &reply, const KeyLedger &ledger)
{
    const auto &current = ledger.claim();
    if (!current || current->claim.id != reply.claim) {
        return;
    }
    const auto &witnesses = current->claim.witnesses;
    if (std::find(witnesses.begin(), witnesses.end(), from) == witnesses.end()) {
        return;
    }
    const auto floor = reply.activatedUntil.value_or(WallTime{});
    const bool isLower =
        !m_bestRevocation || m_bestRevocation->claim != reply.claim || *m_bestRevocation->floor > floor;
    if (isLower) {
        m_bestRevocation = Revocation{.claim = reply.claim, .floor = floor};
    }
}

bool ClaimManager::canRelease(const GateId &to, const ReleaseRequest &request, const KeyLedger &ledger) const
{
    if (m_placement.shouldHold && m_placement.accepting) {
        return false;
    }
    const auto active = activeClaim(ledger);
    // With a claim in flight, the hand-over would have to name two claims. The request is repeated after the claim is
    // read back.
    return active && active->claim.id == request.claim && !m_claimInFlight && to != m_self;
}

ReleaseReply ClaimManager::release(const GateId &to, const ReleaseRequest &request, const KeyLedger &ledger)
{
    const auto active = *activeClaim(ledger);
    ReleaseReply reply;
    reply.claim = active;
    reply.withOfflineRight = request.withOfflineRight;
    reply.floor = active == m_handedOverClaim ? std::max(m_handedOverFloor, ledger.floor()) : ledger.floor();
    reply.until = active.claim.witnesses.empty() ? WallTime{} : active.claim.until;
    const auto promises = m_promises.find(request.claim);
    for (const auto &witness : active.claim.witnesses) {
        const bool hasPromised = promises != m_promises.end() && promises->second.contains(witness);
        reply.until = std::min(reply.until, hasPromised ? promises->second.at(witness) : WallTime{});
    }
    if (m_options.safeguards.releaseStops) {
        m_releasedTo[request.claim] = to;
        m_handedOverClaim.reset();
    }
    return reply;
}

std::optional<GateId> ClaimManager::releasedTo(const KeyLedger &ledger) const
{
    if (!ledger.claim()) {
        return std::nullopt;
    }
    const auto released = m_releasedTo.find(ledger.claim()->claim.id);
    return released == m_releasedTo.end() ? std::nullopt : std::optional(released->second);
}

bool ClaimManager::acceptHandOver(const ReleaseReply &reply)
{
    const auto &id = reply.claim.claim.id;
    if (isReleased(id) || !m_acceptedHandOvers.insert(id).second) {
        return false;
    }
    if (reply.withOfflineRight) {
        m_handedOverClaim = reply.claim;
        m_handedOverFloor = reply.floor;
        for (const auto &witness : reply.claim.claim.witnesses) {
            handleReply(witness, ActivateReply{.claim = id, .until = reply.until});
        }
    }
    return true;
}

bool ClaimManager::hasHandOverFrom(const GateId &holder) const
{
    return std::any_of(m_acceptedHandOvers.begin(), m_acceptedHandOvers.end(),
                       [&holder](const ClaimId &claim) { return claim.holder == holder; });
}

std::optional<ClaimId> ClaimManager::onBehalfOf(const KeyLedger &ledger) const
{
    if (m_handedOverClaim) {
        return m_handedOverClaim->claim.id;
    }
    const auto &current = ledger.claim();
    const bool hasHandOver =
        current && m_acceptedHandOvers.contains(current->claim.id) && !isReleased(current->claim.id);
    return hasHandOver ? std::optional(current->claim.id) : std::nullopt;
}

/** Returns the claim under which this process acts: its own, or one handed over to it, or nothing. */
std::optional<LoggedClaim> ClaimManager::activeClaim(const KeyLedger &ledger) const
{
    if (canAnnounce(ledger)) {
        return ledger.claim();
    }
    const bool isOutdated = m_handedOverClaim && ledger.claim() && ledger.claim()->offset > m_handedOverClaim->offset;
    return isOutdated ? std::nullopt : m_handedOverClaim;
}

bool ClaimManager::isReleased(const ClaimId &claim) const
{
    return m_releasedTo.contains(claim);
}

bool ClaimManager::isPromised(const KeyClaim &claim, WallTime time) const
{
    const auto promises = m_promises.find(claim.id);
    if (claim.witnesses.empty() || promises == m_promises.end() || time >= claim.until) {
        return false;
    }
    return std::all_of(claim.witnesses.begin(), claim.witnesses.end(), [&](const GateId &witness) {
        const auto until = promises->second.find(witness);
        return until != promises->second.end() && time < until->second;
    });
}

bool ClaimManager::isRenewalDue(const KeyClaim &current, WallTime now) const
{
    // After an outage the witnesses still refuse successors for this claim; a new claim has no such promises.
    const bool wasActivated = m_promises.contains(current.id);
    const bool isHalfExpired = current.until - now < m_options.claimSpan / 2;
    return wasActivated || isHalfExpired || current.witnesses != m_placement.witnesses;
}

/** Returns the floor for replacing @p current, or nothing while its holder may still run keys without the log. */
std::optional<WallTime> ClaimManager::takeOverFloor(const LoggedClaim &current, WallTime now) const
{
    const auto &claim = current.claim;
    const bool isHandedOver = m_acceptedHandOvers.contains(claim.id) && !isReleased(claim.id);
    if (claim.witnesses.empty() || isHandedOver) {
        return WallTime{};
    }
    if (m_bestRevocation && m_bestRevocation->claim == claim.id && *m_bestRevocation->floor <= now) {
        return m_bestRevocation->floor;
    }
    if (claim.until <= now) {
        return claim.until;
    }
    return std::nullopt;
}

void ClaimManager::addActivateRequests(std::vector<OutgoingKeyMessage> &messages, const KeyClaim &claim,
                                       WallTime now) const
{
    const auto until = std::min(now + m_options.activationSpan, claim.until);
    const auto promises = m_promises.find(claim.id);
    for (const auto &witness : claim.witnesses) {
        const auto promisedUntil = promises != m_promises.end() && promises->second.contains(witness)
            ? promises->second.at(witness)
            : WallTime{};
        if (promisedUntil < now + m_options.activationSpan / 2 && promisedUntil < until) {
            messages.push_back({.to = witness, .message = ActivateRequest{.claim = claim.id, .until = until}});
        }
    }
}

KeyClaim ClaimManager::makeClaim(LogOffset basedOn, WallTime floor, WallTime now)
{
    KeyClaim claim;
    claim.id = {.holder = m_self, .serial = ++m_serial};
    claim.basedOn = basedOn;
    claim.witnesses = m_placement.witnesses;
    claim.until = now + m_options.claimSpan;
    claim.floor = floor;
    return claim;
}

} // namespace Heatherridge
