#pragma once

#include "gateway/conversations/conversation.h"

#include <memory>
#include <vector>

namespace Heatherridge
{

/** A caller that sends its requests one after the other, several at a time where they are pipelined. */
class ConversationCaller
{
public:
    /** @param requests in the order in which they are sent; their answers are written there */
    ConversationCaller(Endpoint endpoint, std::vector<ObservedRequest> &requests);

    /** Sends all requests and receives the answers. */
    void run();

    /** Closes the connection; returns the number of bytes that arrived after the last answer of a connection. */
    int closeAndCountSurplus();

private:
    void send(std::size_t begin, std::size_t end);
    void receive(ObservedRequest &request);
    void leave(ObservedRequest &request);

    Endpoint m_endpoint;
    std::vector<ObservedRequest> &m_requests;
    std::unique_ptr<RawCaller> m_connection;
    int m_surplusBytes = 0;
};

} // namespace Heatherridge
