#pragma once

#include "heatherridge_protocol/envelope.h"
#include "heatherridge_state/fold/controlrecord.h"

#include <variant>

namespace Heatherridge
{

/** Maximum size in bytes of a control record: one document of maximum size plus its envelope fields. */
constexpr std::size_t MaxControlRecordBytes = IniDocument::MaxBytes + (64UL << 10U);

/** Maximum length in bytes of a name or operation id in a record. */
constexpr std::size_t MaxRecordNameBytes = 128;

/** Encodes @p record as the payload of a record of the control stream. */
Bytes encodeControlRecord(const ControlRecord &record);

/**
 * Decodes the payload of a record of the control stream. Operators can append arbitrary bytes to the stream, so the
 * input is untrusted. The result depends only on the bytes, so that all readers skip the same records for the same
 * reason.
 */
std::variant<ControlRecord, SkipReason> decodeControlRecord(const Bytes &payload);

} // namespace Heatherridge
