#pragma once

#include "heatherridge_protocol/envelope.h"

namespace Heatherridge
{

/** Deepest nesting of maps and arrays in any message or record. */
constexpr std::size_t MaxCborDepth = 16;

/**
 * Whether @p bytes are exactly one CBOR item that the codec can be given: nested at most MaxCborDepth deep, every
 * length within the input, no tags and no indefinite lengths.
 *
 * The codec reads nested items by recursion, so a few megabytes of opening brackets, or of chunked strings within
 * chunked strings, would exhaust the stack of every process that reads the record; and it throws for an array whose
 * stated length no memory could hold. This scan uses no recursion and runs first, so neither input reaches the codec.
 */
bool isPlainCbor(const Bytes &bytes);

} // namespace Heatherridge
