#pragma once

#include "heatherridge_protocol/envelope.h"
#include "heatherridge_state/fold/configimage.h"

namespace Heatherridge
{

/** Encodes @p image as CBOR, in the format of snapshots and state offers. */
Bytes encodeConfigImage(const ConfigImage &image);

/** Decodes an image. Validates each field but does not parse the documents; ConfigState::fromImage() does that. */
Result<ConfigImage> decodeConfigImage(const Bytes &bytes);

} // namespace Heatherridge
