#pragma once

#include "heatherridge_state/heatherridge_state.h"

#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace Heatherridge
{

/** One event in the life of a request. */
struct JournalStep
{
    std::chrono::milliseconds elapsed{}; ///< since the request arrived
    std::string event{}; ///< stable name: arrived, placed, refused, retry, redirected, attempt-failed
    TargetName target{};
    std::string reason{};
};

/** The recorded history of one request. */
struct JournalEntry
{
    SteadyTime arrived{};
    std::string outcome{}; ///< empty while the request is open
    std::vector<JournalStep> steps{};
};

/**
 * Records the most recent requests of this process and why each was placed or refused, for the operator. Bounded in
 * size. Thread-safe.
 */
class RequestJournal
{
public:
    /** Maximum number of recorded requests; at 80 requests a second for each of 500 entries this covers most of a
     * minute. */
    static constexpr std::size_t MaxRequests = 4096;
    /** Maximum number of steps per request; further steps are not recorded. */
    static constexpr std::size_t MaxSteps = 16;

    /** Records a step of @p id; the first step creates its entry. */
    void record(const RequestId &id, std::string event, const TargetName &target = {}, std::string reason = {});

    /** Records the outcome of @p id. */
    void finish(const RequestId &id, std::string outcome);

    /** Returns the history of @p id, or nothing if it is not recorded. */
    std::optional<JournalEntry> find(const RequestId &id) const;

private:
    mutable std::mutex m_mutex;
    std::unordered_map<RequestId, JournalEntry> m_entries;
    std::deque<RequestId> m_order; ///< oldest first
};

} // namespace Heatherridge
