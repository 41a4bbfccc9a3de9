#pragma once

#include "heatherridge_transport/app/metrics.h"
#include "heatherridge_transport/http/httpmessages.h"

#include <nlohmann/json.hpp>

namespace Heatherridge
{

/** @p json as a whole answer. */
HttpResponse jsonAnswer(const nlohmann::ordered_json &json);

/** All metrics in the text exposition format. */
HttpResponse metricsAnswer(const Metrics &metrics);

/** There is nothing at @p path. */
HttpResponse notFoundAnswer(const std::string &path);

/** @p number as 16 hexadecimal digits. */
std::string hexText(std::uint64_t number);

} // namespace Heatherridge
