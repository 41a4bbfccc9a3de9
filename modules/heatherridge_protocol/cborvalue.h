#pragma once

#include "heatherridge_protocol/cborstructure.h"
#include "heatherridge_state/base/result.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace Heatherridge
{

/** Encodes @p value as CBOR. */
inline std::string encodeCbor(const nlohmann::json &value)
{
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
}

/** Decodes @p bytes and passes the value to @p readFields. A decoding or type error yields MalformedFrame, as do bytes
 * that the decoder must not see. @see isPlainCbor() */
template<typename ReadFields>
auto decodeCbor(std::string_view bytes, ReadFields readFields) -> Result<decltype(readFields(nlohmann::json{}))>
{
    if (!isPlainCbor(bytes)) {
        return Error{.kind = ErrorKind::MalformedFrame, .detail = "not one plain CBOR item"};
    }
    try {
        return readFields(nlohmann::json::from_cbor(bytes));
    } catch (const nlohmann::json::exception &error) {
        return Error{.kind = ErrorKind::MalformedFrame, .detail = error.what()};
    }
}

} // namespace Heatherridge
