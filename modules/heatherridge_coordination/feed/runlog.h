#pragma once

#include "heatherridge_state/base/ids.h"
#include "heatherridge_state/base/result.h"

#include <functional>
#include <optional>
#include <string>

namespace Heatherridge
{

/**
 * Interface to the records that processes keep about their runs in the platform's log: the newest one of each process.
 * Single-threaded; answers arrive later on the same thread.
 */
class RunLog
{
public:
    virtual ~RunLog() = default;

    /** Reads the newest record of @p process; none if there is none. */
    virtual void readNewest(const ProcessName &process,
                            std::function<void(Result<std::optional<std::string>>)> done) = 0;

    /** Replaces the record of @p process. If the answer is lost, it may or may not have been replaced, or may be
     * replaced later. */
    virtual void write(const ProcessName &process, const std::string &record, std::function<void(Outcome)> done) = 0;
};

} // namespace Heatherridge
