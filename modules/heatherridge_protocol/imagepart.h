#pragma once

#include "heatherridge_protocol/envelope.h"
#include "heatherridge_state/fold/configimage.h"

#include <vector>

namespace Heatherridge
{

/** One part of an encoded ConfigImage, as used in snapshots in the log and in state offers between processes. */
struct ImagePart
{
    LogOffset covers{}; ///< offset of the complete image
    Digest digest{}; ///< digest of the complete image
    std::size_t index = 0; ///< position of the part, from 0
    std::size_t count = 0; ///< number of parts of the image
    Bytes bytes{};

    bool operator==(const ImagePart &) const = default;
};

/** Maximum size of a part in bytes. */
constexpr std::size_t MaxImagePartBytes = 64UL << 10U;

/** Maximum number of parts of an image. */
constexpr std::size_t MaxImageParts = 256;

/** Splits @p image into parts. Returns an empty vector if it needs more than MaxImageParts. */
std::vector<ImagePart> splitImage(const ConfigImage &image);

/** Encodes @p part as CBOR, including a checksum. */
Bytes encodeImagePart(const ImagePart &part);

/** Decodes a part. A wrong checksum yields MalformedFrame. */
Result<ImagePart> decodeImagePart(const Bytes &payload);

} // namespace Heatherridge
