#pragma once

#include "heatherridge_state/heatherridge_state.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace Heatherridge
{

/** The response of one process's administration interface. */
struct AdminResponse
{
    Endpoint process{};
    int status = 0; ///< HTTP status; 0 when no response arrived
    nlohmann::json body{}; ///< null when the response was not JSON
    std::string failure{}; ///< why no response arrived
};

/**
 * Requests @p path with @p query from all @p processes concurrently; blocks up to @p timeout.
 * @returns the responses in the order of @p processes
 */
std::vector<AdminResponse> queryAll(const std::vector<Endpoint> &processes, const std::string &path,
                                    const std::string &query, std::chrono::milliseconds timeout);

} // namespace Heatherridge
