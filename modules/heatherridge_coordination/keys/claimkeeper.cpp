#include "heatherridge_coordination/keys/claimkeeper.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

/** Claims whose promises are kept: the one in force, the one on its way, and some that arrive late. */
constexpr std::size_t MaxPromisedClaims = 16;

} // namespace

ClaimKeeper::ClaimKeeper(GateId self, Options options)
    : m_self(std::move(self))
    , m_options(options)
{
}

void ClaimKeeper::place(KeyPlacement placement)
{
    m_placement = std::move(placement);
    std::erase(m_placement.witnesses, m_self);
}

const KeyPlacement &ClaimKeeper::placement() const
{
    return m_placement;
}

bool ClaimKeeper::announces(const KeyLedger &ledger) const
{
    return ledger.isHolder(m_self) && !isReleased(ledger.claim()->claim.id);
}

bool ClaimKeeper::mayRunWithoutLog(const KeyLedger &ledger, WallTime time) const
{
    const auto under = base(ledger);
    if (!under) {
        return false;
    }
    const auto floor = under == m_borrowed ? std::max(m_borrowedFloor, ledger.floor()) : ledger.floor();
    if (time < floor) {
        return false;
    }
    if (!m_options.safeguards.witnessesAsked) {
        return true;
    }
    // A claim whose append was not read back may be in the log all the same; a successor would ask its witnesses, not
    // those of the claim before it.
    const bool inFlightPromised =
        !m_onItsWay || !m_options.safeguards.claimsInFlightCount || promised(*m_onItsWay, time);
    return promised(under->claim, time) && inFlightPromised;
}

std::optional<KeyClaim> ClaimKeeper::nextClaim(const KeyLedger &ledger, WallTime now)
{
    if (m_onItsWay || !m_placement.wanted || !m_placement.accepting) {
        return std::nullopt;
    }
    if (!ledger.isWhole()) {
        auto claim = makeClaim(ledger.folded(), std::max(now + m_options.tolerance, ledger.pendingUntil()), now);
        claim.afterLoss = true;
        return m_onItsWay = claim;
    }
    const auto &current = ledger.claim();
    if (!current) {
        return m_onItsWay = makeClaim(LogOffset{}, WallTime{}, now);
    }
    if (announces(ledger)) {
        return isRenewalDue(current->claim, now) ? m_onItsWay = makeClaim(current->offset, WallTime{}, now)
                                                 : std::nullopt;
    }
    const auto floor = takeOverFloor(*current, now);
    if (!floor) {
        return std::nullopt;
    }
    return m_onItsWay = makeClaim(current->offset, m_options.safeguards.floorRaised ? *floor : WallTime{}, now);
}

void ClaimKeeper::claimFolded()
{
    m_onItsWay.reset();
}

std::vector<KeyOutgoing> ClaimKeeper::requests(const KeyLedger &ledger, WallTime now, bool logWell) const
{
    std::vector<KeyOutgoing> out;
    const auto under = base(ledger);
    if (under && !logWell) {
        addActivations(out, under->claim, now);
        if (m_onItsWay) {
            addActivations(out, *m_onItsWay, now);
        }
    }
    const auto &current = ledger.claim();
    if (under || !current || !m_placement.wanted || !m_placement.accepting) {
        return out;
    }
    const auto &claim = current->claim;
    const auto holder = releasedTo(ledger).value_or(claim.id.holder);
    if (holder != m_self && !m_inherited.contains(claim.id)) {
        out.push_back({.to = holder, .message = ReleaseRequest{.claim = claim.id, .withRight = !logWell}});
    }
    if (logWell) {
        for (const auto &witness : claim.witnesses) {
            out.push_back({.to = witness, .message = RevokeRequest{.claim = claim.id}});
        }
    }
    return out;
}

void ClaimKeeper::take(const GateId &from, const ActivateReply &reply)
{
    auto &until = m_promises[reply.claim][from];
    until = std::max(until, reply.until);
    while (m_promises.size() > MaxPromisedClaims) {
        m_promises.erase(m_promises.begin()); // a forgotten promise only refuses; it is asked for again
    }
}

void ClaimKeeper::take(const GateId &from, const RevokeReply &reply, const KeyLedger &ledger)
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
    const bool better = !m_word || m_word->claim != reply.claim || *m_word->floor > floor;
    if (better) {
        m_word = Word{.claim = reply.claim, .floor = floor};
    }
}

bool ClaimKeeper::mayRelease(const GateId &to, const ReleaseRequest &request, const KeyLedger &ledger) const
{
    if (m_placement.wanted && m_placement.accepting) {
        return false;
    }
    const auto under = base(ledger);
    // With a claim on its way the hand-over would have to name two; it is asked for again once that is settled.
    return under && under->claim.id == request.claim && !m_onItsWay && to != m_self;
}

ReleaseReply ClaimKeeper::release(const GateId &to, const ReleaseRequest &request, const KeyLedger &ledger)
{
    const auto under = *base(ledger);
    ReleaseReply reply;
    reply.claim = under;
    reply.withRight = request.withRight;
    reply.floor = under == m_borrowed ? std::max(m_borrowedFloor, ledger.floor()) : ledger.floor();
    reply.until = under.claim.witnesses.empty() ? WallTime{} : under.claim.until;
    const auto promises = m_promises.find(request.claim);
    for (const auto &witness : under.claim.witnesses) {
        const bool known = promises != m_promises.end() && promises->second.contains(witness);
        reply.until = std::min(reply.until, known ? promises->second.at(witness) : WallTime{});
    }
    if (m_options.safeguards.releaseStops) {
        m_released[request.claim] = to;
        m_borrowed.reset();
    }
    return reply;
}

std::optional<GateId> ClaimKeeper::releasedTo(const KeyLedger &ledger) const
{
    if (!ledger.claim()) {
        return std::nullopt;
    }
    const auto released = m_released.find(ledger.claim()->claim.id);
    return released == m_released.end() ? std::nullopt : std::optional(released->second);
}

bool ClaimKeeper::inherit(const ReleaseReply &reply)
{
    const auto &id = reply.claim.claim.id;
    if (isReleased(id) || !m_inherited.insert(id).second) {
        return false;
    }
    if (reply.withRight) {
        m_borrowed = reply.claim;
        m_borrowedFloor = reply.floor;
        for (const auto &witness : reply.claim.claim.witnesses) {
            take(witness, ActivateReply{.claim = id, .until = reply.until});
        }
    }
    return true;
}

std::optional<ClaimId> ClaimKeeper::onBehalfOf(const KeyLedger &ledger) const
{
    if (m_borrowed) {
        return m_borrowed->claim.id;
    }
    const auto &current = ledger.claim();
    const bool inherited = current && m_inherited.contains(current->claim.id) && !isReleased(current->claim.id);
    return inherited ? std::optional(current->claim.id) : std::nullopt;
}

/** The claim under which this process acts: its own, or the one it was handed; nothing when it doesn't act. */
std::optional<PlacedClaim> ClaimKeeper::base(const KeyLedger &ledger) const
{
    if (announces(ledger)) {
        return ledger.claim();
    }
    const bool outdated = m_borrowed && ledger.claim() && ledger.claim()->offset > m_borrowed->offset;
    return outdated ? std::nullopt : m_borrowed;
}

bool ClaimKeeper::isReleased(const ClaimId &claim) const
{
    return m_released.contains(claim);
}

bool ClaimKeeper::promised(const KeyClaim &claim, WallTime time) const
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

bool ClaimKeeper::isRenewalDue(const KeyClaim &current, WallTime now) const
{
    // After an outage the witnesses still refuse successors for this claim; a new one frees the shard of that.
    const bool wasActivated = m_promises.contains(current.id);
    const bool halfSpent = current.until - now < m_options.claimSpan / 2;
    return wasActivated || halfSpent || current.witnesses != m_placement.witnesses;
}

/** The floor with which @p current may be replaced; nothing while its holder may still run keys without the log. */
std::optional<WallTime> ClaimKeeper::takeOverFloor(const PlacedClaim &current, WallTime now) const
{
    const auto &claim = current.claim;
    const bool handedOver = m_inherited.contains(claim.id) && !isReleased(claim.id);
    if (claim.witnesses.empty() || handedOver) {
        return WallTime{};
    }
    if (m_word && m_word->claim == claim.id && *m_word->floor <= now) {
        return m_word->floor;
    }
    if (claim.until <= now) {
        return claim.until;
    }
    return std::nullopt;
}

void ClaimKeeper::addActivations(std::vector<KeyOutgoing> &into, const KeyClaim &claim, WallTime now) const
{
    const auto until = std::min(now + m_options.activationSpan, claim.until);
    const auto promises = m_promises.find(claim.id);
    for (const auto &witness : claim.witnesses) {
        const auto have = promises != m_promises.end() && promises->second.contains(witness)
            ? promises->second.at(witness)
            : WallTime{};
        if (have < now + m_options.activationSpan / 2 && have < until) {
            into.push_back({.to = witness, .message = ActivateRequest{.claim = claim.id, .until = until}});
        }
    }
}

KeyClaim ClaimKeeper::makeClaim(LogOffset basedOn, WallTime floor, WallTime now)
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
