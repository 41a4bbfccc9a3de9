#include "heatherridge_protocol/cborreader.h"

#include "heatherridge_protocol/cborstructure.h"

#include <cmath>

namespace Heatherridge
{

bool CborReader::parse(const Bytes &bytes, nlohmann::json &result)
{
    if (!isPlainCbor(bytes)) {
        return false;
    }
    result = nlohmann::json::from_cbor(bytes, true, false);
    return result.is_object();
}

CborReader::CborReader(const nlohmann::json &map)
    : m_map(map)
{
}

std::uint64_t CborReader::number(std::string_view key, std::uint64_t maximum)
{
    const auto *value = find(key);
    if (value == nullptr || !value->is_number_unsigned() || value->get<std::uint64_t>() > maximum) {
        fail(key);
        return 0;
    }
    return value->get<std::uint64_t>();
}

std::int64_t CborReader::integer(std::string_view key, std::int64_t minimum, std::int64_t maximum)
{
    const auto *value = find(key);
    const bool fits = value != nullptr && value->is_number_integer()
        && !(value->is_number_unsigned() && value->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX));
    if (!fits || value->get<std::int64_t>() < minimum || value->get<std::int64_t>() > maximum) {
        fail(key);
        return 0;
    }
    return value->get<std::int64_t>();
}

double CborReader::fraction(std::string_view key)
{
    const auto *value = find(key);
    if (value == nullptr || !value->is_number() || !std::isfinite(value->get<double>())) {
        fail(key);
        return 0;
    }
    return value->get<double>();
}

std::string CborReader::text(std::string_view key)
{
    const auto *value = find(key);
    if (value == nullptr || !value->is_string()) {
        fail(key);
        return {};
    }
    return value->get<std::string>();
}

bool CborReader::boolean(std::string_view key)
{
    const auto *value = find(key);
    if (value == nullptr || !value->is_boolean()) {
        fail(key);
        return false;
    }
    return value->get<bool>();
}

Bytes CborReader::bytes(std::string_view key)
{
    const auto *value = find(key);
    if (value == nullptr || !value->is_binary()) {
        fail(key);
        return {};
    }
    return value->get_binary();
}

const nlohmann::json *CborReader::array(std::string_view key)
{
    const auto *value = find(key);
    if (value == nullptr || !value->is_array()) {
        fail(key);
        return nullptr;
    }
    return value;
}

const nlohmann::json *CborReader::map(std::string_view key)
{
    const auto *value = find(key);
    if (value == nullptr || !value->is_object()) {
        fail(key);
        return nullptr;
    }
    return value;
}

bool CborReader::has(std::string_view key) const
{
    return m_map.is_object() && m_map.contains(key);
}

void CborReader::fail(std::string_view key)
{
    if (m_failedKey.empty()) {
        m_failedKey = key;
    }
}

bool CborReader::ok() const
{
    return m_failedKey.empty();
}

const std::string &CborReader::failedKey() const
{
    return m_failedKey;
}

const nlohmann::json *CborReader::find(std::string_view key)
{
    if (!m_map.is_object()) {
        return nullptr;
    }
    const auto entry = m_map.find(key);
    return entry == m_map.end() ? nullptr : &*entry;
}

Error malformedError(std::string_view what)
{
    return Error{.kind = ErrorKind::MalformedFrame, .detail = "malformed: " + std::string(what)};
}

Bytes toCbor(const nlohmann::json &map)
{
    return nlohmann::json::to_cbor(map);
}

nlohmann::json binary(Bytes bytes)
{
    return nlohmann::json::binary(std::move(bytes));
}

} // namespace Heatherridge
