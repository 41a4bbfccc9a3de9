#include "heatherridge_transport/target/heldrequests.h"

namespace Heatherridge
{

bool HeldRequests::hold(HeldRequest request)
{
    if (m_requests.size() >= MaxRequests) {
        return false;
    }
    m_requests.push_back(std::move(request));
    return true;
}

HeldRequests::Released HeldRequests::release(LogOffset offset, SteadyTime latest)
{
    Released released;
    std::vector<HeldRequest> waiting;
    for (auto &request : m_requests) {
        if (request.needs <= offset) {
            released.ready.push_back(std::move(request));
        } else if (request.arrived <= latest) {
            released.late.push_back(std::move(request));
        } else {
            waiting.push_back(std::move(request));
        }
    }
    m_requests = std::move(waiting);
    return released;
}

void HeldRequests::forget(const RequestId &id)
{
    std::erase_if(m_requests, [&id](const auto &held) { return held.request.id == id; });
}

void HeldRequests::forget(const std::shared_ptr<PeerSocket> &entry)
{
    std::erase_if(m_requests, [&entry](const auto &held) { return held.entry == entry; });
}

bool HeldRequests::isEmpty() const
{
    return m_requests.empty();
}

} // namespace Heatherridge
