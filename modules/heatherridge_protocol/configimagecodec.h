#pragma once

#include "heatherridge_protocol/envelope.h"
#include "heatherridge_state/fold/configimage.h"

namespace Heatherridge
{

/** The CBOR form of @p image, as snapshots and state offers carry it. */
Bytes encodeConfigImage(const ConfigImage &image);

/** Reads @p bytes. Fields are checked one by one, not whether the documents read; ConfigState::fromImage does that. */
Result<ConfigImage> decodeConfigImage(const Bytes &bytes);

} // namespace Heatherridge
