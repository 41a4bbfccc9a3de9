#pragma once

#include "heatherridge_state/heatherridge_state.h"
#include "heatherridge_transport/cxx17/peersocket.h"

#include <deque>
#include <map>
#include <memory>

namespace Heatherridge
{

/**
 * Connections from a rank's process to those of the other ranks of its group. Used for sending only, since each process
 * answers over its own connections.
 *
 * A connection is opened when the first frame is sent, and again when a frame is sent after it was lost. The number of
 * frames queued for it is bounded, and the oldest are dropped: gates and leaders repeat messages that had no effect.
 * All methods must be called on the loop's thread.
 */
class RankLinks
{
public:
    /** Creates links on @p loop, which must outlive them. */
    explicit RankLinks(asio::io_context &loop);
    ~RankLinks();

    RankLinks(const RankLinks &) = delete;
    RankLinks &operator=(const RankLinks &) = delete;

    /** Sends @p frame to @p rank, whose process listens at @p endpoint. */
    void send(int rank, const Endpoint &endpoint, const std::vector<std::uint8_t> &frame);

private:
    struct Link
    {
        std::shared_ptr<PeerSocket> socket{};
        bool isOpen = false;
        std::deque<std::vector<std::uint8_t>> queued{};
    };

    using Links = std::map<int, Link>;

    PeerConnector m_connector;
    std::shared_ptr<Links> m_links; ///< shared with connection callbacks, which may run after destruction
};

} // namespace Heatherridge
