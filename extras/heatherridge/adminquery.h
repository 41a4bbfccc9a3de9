#pragma once

#include "heatherridge_state/heatherridge_state.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace Heatherridge
{

/** What one process's administration interface answered. */
struct AdminResponse
{
    Endpoint process{};
    int status = 0; ///< HTTP status; 0 when no answer came
    nlohmann::json body{}; ///< null when the answer was no JSON
    std::string failure{}; ///< why no answer came
};

/**
 * Asks all @p processes for @p path with @p query at the same time.
 * @returns their answers in the same order; blocks up to @p timeout
 */
std::vector<AdminResponse> queryAll(const std::vector<Endpoint> &processes, const std::string &path,
                                    const std::string &query, std::chrono::milliseconds timeout);

} // namespace Heatherridge
