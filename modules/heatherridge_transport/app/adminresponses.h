#pragma once

#include "heatherridge_transport/app/controlplane.h"
#include "heatherridge_transport/app/metrics.h"
#include "heatherridge_transport/http/httpmessages.h"

#include <nlohmann/json.hpp>

namespace Heatherridge
{

/** Returns a 200 response with @p json as its body. */
HttpResponse jsonResponse(const nlohmann::ordered_json &json);

/** Returns a 200 response with all metrics in the text exposition format. */
HttpResponse metricsResponse(const Metrics &metrics);

/** Returns the status of a process's configuration replication, as shown to the operator. */
nlohmann::ordered_json controlStatusJson(const ControlStatus &status);

/** Returns the error response for a @p path that does not exist. */
HttpResponse notFoundResponse(const std::string &path);

/** Returns @p number as 16 hexadecimal digits. */
std::string hexText(std::uint64_t number);

} // namespace Heatherridge
