#pragma once

#include "heatherridge_state/heatherridge_state.h"

#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace Heatherridge
{

/** One thing that happened to a request. */
struct JournalStep
{
    std::chrono::milliseconds elapsed{}; ///< since the request arrived
    std::string event{}; ///< stable name: arrived, placed, refused, retried, answered, ...
    TargetName target{};
    std::string reason{};
};

/** What is remembered of one request. */
struct JournalEntry
{
    SteadyTime arrived{};
    std::string outcome{}; ///< empty while it is open
    std::vector<JournalStep> steps{};
};

/**
 * The last requests of this process and why each was placed or refused, for the operator. Bounded. Any thread.
 */
class RequestJournal
{
public:
    /** Requests that are remembered; at 80 a second for each of 500 entries that is most of a minute. */
    static constexpr std::size_t MaxRequests = 4096;
    /** Steps kept of one request; further ones are left out. */
    static constexpr std::size_t MaxSteps = 16;

    /** Notes a step of @p id; the first one makes the request known. */
    void record(const RequestId &id, std::string event, const TargetName &target = {}, std::string reason = {});

    /** Notes how @p id ended. */
    void finish(const RequestId &id, std::string outcome);

    /** What is remembered of @p id, or nothing. */
    std::optional<JournalEntry> find(const RequestId &id) const;

private:
    mutable std::mutex m_mutex;
    std::unordered_map<RequestId, JournalEntry> m_entries;
    std::deque<RequestId> m_order; ///< oldest first
};

} // namespace Heatherridge
