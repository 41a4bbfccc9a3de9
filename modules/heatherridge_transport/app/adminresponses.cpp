#include "heatherridge_transport/app/adminresponses.h"

#include "heatherridge_transport/app/problem.h"

namespace Heatherridge
{

HttpResponse jsonResponse(const nlohmann::ordered_json &json)
{
    return {.status = 200,
            .headers = {{"Content-Type", "application/json"}},
            .body = json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace)};
}

HttpResponse metricsResponse(const Metrics &metrics)
{
    return {.status = 200, .headers = {{"Content-Type", "text/plain; version=0.0.4"}}, .body = metrics.exposition()};
}

nlohmann::ordered_json controlStatusJson(const ControlStatus &status)
{
    auto peers = nlohmann::ordered_json::array();
    for (const auto &peer : status.peers) {
        peers.push_back({{"process", peer.process.text()},
                         {"role", peer.isSource ? "source" : "subscriber"},
                         {"offset", toNumber(peer.offset)},
                         {"age_ms", peer.timeSinceLastMessage.count()}});
    }
    auto missing = nlohmann::ordered_json::array();
    for (const auto &target : status.missingTargets) {
        missing.push_back(target.text());
    }
    nlohmann::ordered_json json{{"offset", toNumber(status.offset)},
                                {"inventory_offset", toNumber(status.inventoryOffset)},
                                {"rules_offset", toNumber(status.rulesOffset)},
                                {"digest", hexText(toNumber(status.digest))},
                                {"phase", status.phase},
                                {"log", status.log},
                                {"cut_off", status.isCutOff},
                                {"diverged", status.diverged},
                                {"missing_targets", missing},
                                {"peers", peers}};
    json["last_record_age_ms"] = status.freshAge ? nlohmann::ordered_json(status.freshAge->count()) : nullptr;
    return json;
}

HttpResponse notFoundResponse(const std::string &path)
{
    return problemResponse(Error{.kind = ErrorKind::NotFound, .detail = path}, RequestId());
}

std::string hexText(std::uint64_t number)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(16, '0');
    for (auto position = text.rbegin(); position != text.rend(); ++position, number >>= 4U) {
        *position = digits[number & 15U];
    }
    return text;
}

} // namespace Heatherridge
