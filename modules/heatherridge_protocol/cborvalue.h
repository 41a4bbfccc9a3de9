#pragma once

#include "heatherridge_state/base/result.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace Heatherridge
{

/** The CBOR of @p value. */
inline std::string cborOf(const nlohmann::json &value)
{
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
}

/** Runs @p read on the value in @p bytes; whatever does not fit makes the message malformed. */
template<typename Read>
auto decodedCbor(std::string_view bytes, Read read) -> Result<decltype(read(nlohmann::json{}))>
{
    try {
        return read(nlohmann::json::from_cbor(bytes));
    } catch (const nlohmann::json::exception &broken) {
        return Error{.kind = ErrorKind::MalformedFrame, .detail = broken.what()};
    }
}

} // namespace Heatherridge
