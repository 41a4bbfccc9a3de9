#pragma once

#include "heatherridge_protocol/envelope.h"
#include "heatherridge_state/fold/controlrecord.h"

#include <variant>

namespace Heatherridge
{

/** Longest record of the control stream that is read, in bytes: one document of the longest kind and its frame. */
constexpr std::size_t MaxControlRecordBytes = IniDocument::MaxBytes + (64UL << 10U);

/** Longest name or operation id in a record, in bytes. */
constexpr std::size_t MaxRecordNameBytes = 128;

/** The payload of @p record. */
Bytes encodeControlRecord(const ControlRecord &record);

/**
 * Reads the payload of a record of the control stream. Operators may append anything to the stream, so the input is
 * hostile; the verdict depends on the bytes alone, so that all readers skip the same records for the same reason.
 */
std::variant<ControlRecord, SkipReason> decodeControlRecord(const Bytes &payload);

} // namespace Heatherridge
