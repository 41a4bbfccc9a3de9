#pragma once

#include "heatherridge_state/membership/membership.h"
#include "heatherridge_transport/http/httpclient.h"

#include <functional>
#include <optional>
#include <string_view>

namespace Heatherridge
{

/** Parses @p body as the platform's host list, without its malformed entries; returns no value if it is not a list or
 * all of its entries are malformed. */
std::optional<std::vector<HostListEntry>> parseHostList(std::string_view body);

/**
 * Periodically reads the platform's list of live and leaving hosts.
 *
 * A failed read changes nothing: the previous list remains in force, regardless of its age. One read at a time. All
 * methods run on the thread of the client's loop.
 */
class HostListReader
{
public:
    struct Options
    {
        Endpoint endpoint{}; ///< of the platform's host list service
        std::chrono::milliseconds period{
            1'000}; ///< between reads; half of the time within which a leaving mark must take effect
        std::chrono::milliseconds timeout{2'000};
    };

    /** Called with each list read. */
    using ListHandler = std::function<void(const std::vector<HostListEntry> &)>;

    /** Uses @p client, which must outlive the reader. */
    HostListReader(HttpClient &client, Options options, ListHandler onList);

    /** Starts a read if one is due at @p now and none is in progress. */
    void tick(SteadyTime now);

    /** Returns the number of reads that yielded no list. */
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
