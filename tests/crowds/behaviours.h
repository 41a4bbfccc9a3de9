#pragma once

#include "crowds/crowd.h"

#include <gtest/gtest.h>

#include <vector>

namespace Heatherridge
{

/** Returns @p bytes of header lines of two bytes each, the smallest with a name. */
std::string shortHeaders(std::size_t bytes);

/** Returns what a crowd of @p connections sends that needs no more of a server than that it reads HTTP/1.1. The
 * requests have the request line @p line, without a line end, and a host. */
std::vector<CrowdBehaviour> requestBehaviours(const std::string &line, int connections);

/** Returns crowds that send nothing, or half a head, on @p connections. */
std::vector<CrowdBehaviour> silentBehaviours(const std::string &line, int connections);

/** Returns the name of a row, for the name of its test. */
std::string behaviourName(const testing::TestParamInfo<CrowdBehaviour> &row);

} // namespace Heatherridge
