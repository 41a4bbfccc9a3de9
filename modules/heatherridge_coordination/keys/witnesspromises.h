#pragma once

#include "heatherridge_protocol/keymessage.h"

#include <map>
#include <optional>

namespace Heatherridge
{

/**
 * The promises that this process has made as a witness of other gates' claims on one shard.
 *
 * For each claim it either promises the holder to refuse successors, or promises a successor to give the holder
 * nothing more. The second is final. The promises live in memory: a restarted process is another witness, which no
 * claim of before names. No I/O; one thread.
 */
class WitnessPromises
{
public:
    /** Most claims remembered. When full, new ones are not answered, which leaves both sides safe. */
    static constexpr std::size_t MaxClaims = 256;

    /**
     * @param retention how long a promise is remembered: longer than any key under it can be run
     * @param safeguards which safeguards are on
     */
    WitnessPromises(std::chrono::milliseconds retention, KeySafeguards safeguards);

    /** A holder's request at @p now; nothing when a successor came first. */
    std::optional<ActivateReply> activate(const ActivateRequest &request, WallTime now);

    /** A successor's request at @p now: from here on the holder gets nothing more. */
    std::optional<RevokeReply> revoke(const RevokeRequest &request, WallTime now);

private:
    struct Promise
    {
        std::optional<WallTime> activatedUntil{};
        bool frozen = false;
        WallTime lastUsed{};
    };

    Promise *findOrCreatePromise(const ClaimId &claim, WallTime now);

    std::chrono::milliseconds m_retention;
    KeySafeguards m_safeguards;
    std::map<ClaimId, Promise> m_promises;
};

} // namespace Heatherridge
