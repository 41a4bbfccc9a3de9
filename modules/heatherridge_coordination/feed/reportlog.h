#pragma once

#include "heatherridge_state/base/result.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Heatherridge
{

/** Some records of a report log in their order. */
struct ReportPage
{
    std::vector<std::string> records{};
    std::uint64_t end = 0; ///< where to read on
};

/**
 * Records of the system's own in the platform's log, which all entries write and read and which the log drops after
 * some minutes. One thread; answers come later on the same thread.
 */
class ReportLog
{
public:
    virtual ~ReportLog() = default;

    /** Adds @p records, all or none. An answer that is lost says nothing of whether they were added. */
    virtual void append(const std::vector<std::string> &records, std::function<void(Outcome)> done) = 0;

    /**
     * The records from offset @p from on; waits up to @p wait for the first. When the log does not hold that offset the
     * page is empty and its end is the first offset that it holds.
     */
    virtual void read(std::uint64_t from, std::chrono::milliseconds wait,
                      std::function<void(Result<ReportPage>)> done) = 0;
};

} // namespace Heatherridge
