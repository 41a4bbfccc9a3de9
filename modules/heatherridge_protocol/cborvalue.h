#pragma once

#include "heatherridge_state/base/result.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace Heatherridge
{

/** The CBOR of @p value. */
inline std::string encodeCbor(const nlohmann::json &value)
{
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
}

/** Runs @p read on the value in @p bytes; whatever does not fit makes the message malformed. */
template<typename ReadFields>
auto decodeCbor(std::string_view bytes, ReadFields readFields) -> Result<decltype(readFields(nlohmann::json{}))>
{
    try {
        return readFields(nlohmann::json::from_cbor(bytes));
    } catch (const nlohmann::json::exception &error) {
        return Error{.kind = ErrorKind::MalformedFrame, .detail = error.what()};
    }
}

} // namespace Heatherridge
