#pragma once

#include "heatherridge_state/base/result.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Heatherridge
{

/** Consecutive records of a report log. */
struct ReportPage
{
    std::vector<std::string> records{};
    std::uint64_t end = 0; ///< the offset to continue from
};

/**
 * Interface to the load balancer's own records in the platform's log, which all entry processes write and read and
 * which the log drops after some minutes. Single-threaded; answers arrive later on the same thread.
 */
class ReportLog
{
public:
    virtual ~ReportLog() = default;

    /** Appends @p records atomically. If the answer is lost, they may or may not have been appended. */
    virtual void append(const std::vector<std::string> &records, std::function<void(Outcome)> done) = 0;

    /**
     * Reads the records from offset @p from on; waits up to @p wait for the first. If the log does not hold that
     * offset, the page is empty and its end is the first offset that the log holds.
     */
    virtual void read(std::uint64_t from, std::chrono::milliseconds wait,
                      std::function<void(Result<ReportPage>)> done) = 0;
};

} // namespace Heatherridge
