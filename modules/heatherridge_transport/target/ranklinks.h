#pragma once

#include "heatherridge_state/heatherridge_state.h"
#include "heatherridge_transport/cxx17/peersocket.h"

#include <deque>
#include <map>
#include <memory>

namespace Heatherridge
{

/**
 * Connections from a rank's process to those of the other ranks of its group; for sending only, since each process
 * answers over connections of its own.
 *
 * A connection is made when the first frame is sent and again after it broke. Frames that wait for it are bounded, and
 * the oldest are dropped: gates and leaders repeat what has had no effect. All methods on the loop's thread.
 */
class RankLinks
{
public:
    /** Links on @p loop, which must outlive them. */
    explicit RankLinks(asio::io_context &loop);
    ~RankLinks();

    RankLinks(const RankLinks &) = delete;
    RankLinks &operator=(const RankLinks &) = delete;

    /** Sends @p frame to @p rank, whose process listens at @p gate. */
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
    std::shared_ptr<Links> m_links; ///< shared with the events of connections, which may come after the end
};

} // namespace Heatherridge
