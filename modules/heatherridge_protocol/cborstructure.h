#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace Heatherridge
{

/** Maximum nesting depth of maps and arrays in a message or record. */
constexpr std::size_t MaxCborDepth = 16;

/**
 * Returns whether @p bytes are exactly one CBOR item that is safe to decode: nested at most MaxCborDepth deep, all
 * lengths within the input, no tags and no indefinite lengths.
 *
 * The CBOR decoder is recursive, so a few megabytes of nested array headers or nested chunked strings would exhaust the
 * stack of every process that reads the record. It also throws for an array whose declared length exceeds any memory.
 * This check is not recursive and runs before the decoder, so that neither input reaches it.
 */
bool isPlainCbor(std::span<const std::uint8_t> bytes);

/** Like the function above, for bytes that are held as text. */
bool isPlainCbor(std::string_view bytes);

} // namespace Heatherridge
