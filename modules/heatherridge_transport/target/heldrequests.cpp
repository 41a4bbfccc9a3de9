#include "heatherridge_transport/target/heldrequests.h"

namespace Heatherridge
{

bool HeldRequests::add(HeldRequest request)
{
    if (m_requests.size() >= MaxRequests) {
        return false;
    }
    m_requests.push_back(std::move(request));
    return true;
}

HeldRequests::Released HeldRequests::release(LogOffset offset, SteadyTime arrivalCutoff)
{
    Released released;
    std::vector<HeldRequest> remaining;
    for (auto &request : m_requests) {
        if (request.requiredOffset <= offset) {
            released.ready.push_back(std::move(request));
        } else if (request.arrived <= arrivalCutoff) {
            released.expired.push_back(std::move(request));
        } else {
            remaining.push_back(std::move(request));
        }
    }
    m_requests = std::move(remaining);
    return released;
}

void HeldRequests::remove(const RequestId &id)
{
    std::erase_if(m_requests, [&id](const auto &held) { return held.request.id == id; });
}

void HeldRequests::remove(const std::shared_ptr<PeerSocket> &entry)
{
    std::erase_if(m_requests, [&entry](const auto &held) { return held.entry == entry; });
}

bool HeldRequests::isEmpty() const
{
    return m_requests.empty();
}

} // namespace Heatherridge
