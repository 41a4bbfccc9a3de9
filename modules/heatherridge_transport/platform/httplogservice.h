#pragma once

#include "heatherridge_coordination/heatherridge_coordination.h"
#include "heatherridge_transport/http/httpclient.h"

namespace Heatherridge
{

/**
 * Accesses the platform's log over HTTP.
 *
 * All methods and callbacks run on the thread of the client's loop. @see LogService
 */
class HttpLogService final : public LogService
{
public:
    struct Options
    {
        Endpoint endpoint{}; ///< of the platform's log
        std::chrono::milliseconds timeout{2000}; ///< for an append, and for a read in addition to its waiting time
    };

    /** Uses @p client, which must outlive the service. */
    HttpLogService(HttpClient &client, Options options);

    void append(const StreamName &stream, Bytes payload, AppendDone done) override;
    void read(const StreamName &stream, LogOffset from, std::size_t maxRecords, std::chrono::milliseconds maxWait,
              ReadDone done) override;

private:
    HttpClient &m_client;
    Options m_options;
};

} // namespace Heatherridge
