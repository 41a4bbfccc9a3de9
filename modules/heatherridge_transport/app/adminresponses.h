#pragma once

#include "heatherridge_transport/app/controlplane.h"
#include "heatherridge_transport/app/metrics.h"
#include "heatherridge_transport/http/httpmessages.h"

#include <nlohmann/json.hpp>

namespace Heatherridge
{

/** @p json as a whole answer. */
HttpResponse jsonResponse(const nlohmann::ordered_json &json);

/** All metrics in the text exposition format. */
HttpResponse metricsResponse(const Metrics &metrics);

/** What the operator sees of how a process gets its configuration. */
nlohmann::ordered_json controlStatusJson(const ControlStatus &status);

/** There is nothing at @p path. */
HttpResponse notFoundResponse(const std::string &path);

/** @p number as 16 hexadecimal digits. */
std::string hexText(std::uint64_t number);

} // namespace Heatherridge
