#include "support/platformlogstandin.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Heatherridge
{

namespace
{

using nlohmann::json;

/** Partitions of a topic. */
constexpr int Partitions = 12;
/** Longest time for which a read waits for records, so that the stand-in ends soon. */
constexpr std::chrono::milliseconds MaxWait{500};

std::string base64(const std::string &bytes)
{
    constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    constexpr std::size_t groupBytes = 3;
    constexpr std::size_t groupCharacters = 4;
    std::string text;
    for (std::size_t begin = 0; begin < bytes.size(); begin += groupBytes) {
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < groupBytes; ++index) {
            const auto at = begin + index;
            group = group << 8U | (at < bytes.size() ? static_cast<unsigned char>(bytes[at]) : 0U);
        }
        for (std::size_t index = 0; index < groupCharacters; ++index) {
            text += begin + index <= bytes.size() ? alphabet[group >> (18 - 6 * index) & 63U] : '=';
        }
    }
    return text;
}

/** Returns the value of the query parameter @p name in the request line of @p request; empty if there is none. */
std::string queryValue(const std::string &request, const std::string &name)
{
    const auto line = request.substr(0, request.find("\r\n"));
    auto position = line.find("?" + name + "=");
    if (position == std::string::npos) {
        position = line.find("&" + name + "=");
    }
    if (position == std::string::npos) {
        return {};
    }
    const auto begin = position + name.size() + 2;
    return line.substr(begin, line.find_first_of("& ", begin) - begin);
}

std::string response(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

json newestPage(const PlatformLogStandin::Register &values)
{
    auto items = json::array();
    for (const auto &[key, value] : values) {
        items.push_back({{"key", key}, {"value", base64(value)}, {"offset", items.size()}});
    }
    return {{"items", items}, {"hasMore", false}, {"end", values.size()}};
}

json assignment(const json &call)
{
    auto partitions = json::array();
    for (int partition = 0; partition < Partitions; ++partition) {
        partitions.push_back({call.at("topics").at(0), partition, 0});
    }
    return {{"generation", 1}, {"ttlMs", call.at("ttlMs")}, {"parts", partitions}};
}

} // namespace

PlatformLogStandin::PlatformLogStandin(std::map<std::string, Register> registers)
    : m_registers(std::move(registers))
    , m_server([this](const std::string &request, int) { return answer(request); })
{
}

Endpoint PlatformLogStandin::endpoint() const
{
    return m_server.endpoint();
}

void PlatformLogStandin::setAway(bool isAway)
{
    m_isAway = isAway;
}

std::string PlatformLogStandin::newest(const std::string &topic, const std::string &key) const
{
    const std::lock_guard lock(m_mutex);
    const auto partitions = m_appended.find(topic);
    if (partitions == m_appended.end()) {
        return {};
    }
    for (const auto &[partition, values] : partitions->second) {
        if (const auto value = values.find(key); value != values.end()) {
            return value->second;
        }
    }
    return {};
}

PlatformLogStandin::Register PlatformLogStandin::registerAt(const std::string &topic,
                                                            const std::string &partition) const
{
    if (const auto values = m_registers.find(topic); values != m_registers.end()) {
        return values->second;
    }
    const std::lock_guard lock(m_mutex);
    const auto partitions = m_appended.find(topic);
    if (partitions == m_appended.end() || !partitions->second.contains(partition)) {
        return {};
    }
    return partitions->second.at(partition);
}

void PlatformLogStandin::keep(const std::string &topic, const std::string &partition, std::string_view records)
{
    constexpr std::size_t lengthBytes = 4;
    const std::lock_guard lock(m_mutex);
    while (records.size() > lengthBytes) {
        std::size_t size = 0;
        for (const char byte : records.substr(0, lengthBytes)) {
            size = size << 8U | static_cast<unsigned char>(byte);
        }
        const auto record = records.substr(lengthBytes, size);
        const auto keySize = static_cast<unsigned char>(record.front());
        const std::string key(record.substr(1, keySize));
        const auto value = record.substr(1 + keySize);
        auto &values = m_appended[topic][partition];
        if (value.empty()) {
            values.erase(key);
        } else {
            values[key] = value;
        }
        records.remove_prefix(lengthBytes + record.size());
    }
}

std::vector<TargetAction> PlatformLogStandin::answer(const std::string &request)
{
    if (m_isAway) {
        return {{.kind = TargetAction::Kind::Reset}};
    }
    const auto isCall = [&](std::string_view path) { return request.find(path) < request.find("\r\n"); };
    const auto topic = queryValue(request, "topic");
    if (isCall("/api/log-newest")) {
        return {{.bytes = response(newestPage(registerAt(topic, queryValue(request, "part"))).dump())}};
    }
    if (isCall("/api/log-append") && topic.starts_with("keyed.")) {
        keep(topic, queryValue(request, "part"), std::string_view(request).substr(request.find("\r\n\r\n") + 4));
    }
    if (isCall("/api/log-read")) {
        constexpr std::size_t offsetsBytes = 16; // the end and the first offset, which no reader of these records uses
        const auto wait = queryValue(request, "waitMs");
        const std::chrono::milliseconds time(wait.empty() ? 0 : std::stol(wait));
        return {{.kind = TargetAction::Kind::Wait, .duration = std::min(time, MaxWait)},
                {.bytes = response(std::string(offsetsBytes, '\0'))}};
    }
    if (isCall("/api/log-join")) {
        return {{.bytes = response(assignment(json::parse(request.substr(request.find("\r\n\r\n")))).dump())}};
    }
    return {{.bytes = response(R"({"offset":0,"end":0})")}};
}

} // namespace Heatherridge
