#pragma once

#include "heatherridge_state/membership/membership.h"
#include "heatherridge_transport/http/httpclient.h"

#include <functional>
#include <optional>
#include <string_view>

namespace Heatherridge
{

/** @p body as the platform's host list, or nothing when it is none. */
std::optional<std::vector<HostListEntry>> parseHostList(std::string_view body);

/**
 * Reads the platform's list of live and leaving hosts again and again.
 *
 * A list that cannot be read changes nothing: the last one stands, however old. One read at a time. All methods on
 * the thread of the client's loop.
 */
class HostListReader
{
public:
    struct Options
    {
        Endpoint endpoint{}; ///< where the platform's host list listens
        std::chrono::milliseconds period{1'000}; ///< between reads; half of what a leaving mark may take to count
        std::chrono::milliseconds timeout{2'000};
    };

    /** Called with each list. */
    using ListHandler = std::function<void(const std::vector<HostListEntry> &)>;

    /** Uses @p client, which must outlive it. */
    HostListReader(HttpClient &client, Options options, ListHandler onList);

    /** Starts a read when one is due at @p now. */
    void tick(SteadyTime now);

    /** Reads that gave no list. */
    std::uint64_t failures() const;

private:
    HttpClient &m_client;
    Options m_options;
    ListHandler m_onList;
    SteadyTime m_nextReadAt{};
    bool m_isReading = false;
    std::uint64_t m_failures = 0;
};

} // namespace Heatherridge
