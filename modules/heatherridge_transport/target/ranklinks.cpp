#include "heatherridge_transport/target/ranklinks.h"

#include "heatherridge_transport/link/frameencoder.h"

namespace Heatherridge
{

namespace
{

constexpr std::size_t MaxQueuedFrames = 64;

} // namespace

RankLinks::RankLinks(asio::io_context &loop)
    : m_connector(loop, MaxFrameBytes)
    , m_links(std::make_shared<Links>())
{
}

RankLinks::~RankLinks()
{
    for (auto &[rank, link] : *m_links) {
        if (link.socket) {
            link.socket->close();
        }
    }
}

void RankLinks::send(int rank, const Endpoint &endpoint, const std::vector<std::uint8_t> &frame)
{
    auto &link = (*m_links)[rank];
    if (link.isOpen) {
        link.socket->send(frame);
        return;
    }
    link.queued.push_back(frame);
    if (link.queued.size() > MaxQueuedFrames) {
        link.queued.pop_front();
    }
    if (link.socket) {
        return; // being connected
    }
    const std::weak_ptr<Links> weak = m_links;
    link.socket =
        m_connector.connect(endpoint.address, endpoint.port,
                            {.opened =
                                 [weak, rank](const std::shared_ptr<PeerSocket> &socket) {
                                     if (const auto links = weak.lock()) {
                                         auto &opened = (*links)[rank];
                                         opened.isOpen = true;
                                         for (const auto &queuedFrame : opened.queued) {
                                             socket->send(queuedFrame);
                                         }
                                         opened.queued.clear();
                                     }
                                 },
                             .received = [](const std::shared_ptr<PeerSocket> &, const std::vector<std::uint8_t> &) {},
                             .closed =
                                 [weak, rank](const std::shared_ptr<PeerSocket> &) {
                                     if (const auto links = weak.lock()) {
                                         (*links)[rank].isOpen = false;
                                         (*links)[rank].socket.reset();
                                     }
                                 }});
}

} // namespace Heatherridge
