#pragma once

#include "heatherridge_protocol/keymessage.h"

#include <map>
#include <optional>

namespace Heatherridge
{

/**
 * The promises made by this process as a witness of other gates' claims on one shard.
 *
 * For each claim, a witness either promises the holder to refuse successors, or promises a successor to make no more
 * promises to the holder. The second is final. Promises are kept in memory only: a restarted process is a different
 * witness, which no earlier claim names. Does no I/O. Not thread-safe.
 */
class WitnessPromises
{
public:
    /** Maximum number of claims tracked. Requests for further claims are not answered, which is safe for both sides. */
    static constexpr std::size_t MaxClaims = 256;

    /**
     * @param retention how long a promise is kept: must be longer than any key can be run under it
     * @param safeguards the safeguards that are on
     */
    WitnessPromises(std::chrono::milliseconds retention, KeySafeguards safeguards);

    /**
     * Handles a holder's request at @p now. Returns nothing if a successor asked first, or if too many claims are
     * tracked.
     */
    std::optional<ActivateReply> activate(const ActivateRequest &request, WallTime now);

    /**
     * Handles a successor's request at @p now. The holder gets no more promises afterwards. Returns nothing if too many
     * claims are tracked.
     */
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
