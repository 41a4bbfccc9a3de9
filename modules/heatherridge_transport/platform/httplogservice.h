#pragma once

#include "heatherridge_coordination/heatherridge_coordination.h"
#include "heatherridge_transport/http/httpclient.h"

namespace Heatherridge
{

/**
 * The platform's log, reached over HTTP.
 *
 * All methods on the thread of the client's loop, where the answers come too. @see LogService
 */
class HttpLogService final : public LogService
{
public:
    struct Options
    {
        Endpoint endpoint{}; ///< where the platform's log listens
        std::chrono::milliseconds timeout{2000}; ///< for an append, and for a read beyond its waiting time
    };

    /** Uses @p client, which must outlive it. */
    HttpLogService(HttpClient &client, Options options);

    void append(const StreamName &stream, Bytes payload, AppendDone done) override;
    void read(const StreamName &stream, LogOffset from, std::size_t most, std::chrono::milliseconds wait,
              ReadDone done) override;

private:
    HttpClient &m_client;
    Options m_options;
};

} // namespace Heatherridge
