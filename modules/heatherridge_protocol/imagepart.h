#pragma once

#include "heatherridge_protocol/envelope.h"
#include "heatherridge_state/fold/configimage.h"

#include <vector>

namespace Heatherridge
{

/** One piece of an encoded ConfigImage, as snapshots on the log and state offers between processes carry it. */
struct ImagePart
{
    LogOffset covers{}; ///< the offset of the whole image
    Digest digest{}; ///< of the whole image
    std::size_t index = 0; ///< which piece, from 0
    std::size_t count = 0; ///< of how many
    Bytes bytes{};

    bool operator==(const ImagePart &) const = default;
};

/** Longest piece, in bytes. */
constexpr std::size_t MaxImagePartBytes = 64UL << 10U;

/** Most pieces of one image. */
constexpr std::size_t MaxImageParts = 256;

/** @p image in pieces; empty when it needs more than MaxImageParts. */
std::vector<ImagePart> splitImage(const ConfigImage &image);

/** The CBOR form of @p part with a checksum over it. */
Bytes encodeImagePart(const ImagePart &part);

/** Reads a piece; one whose checksum does not fit is malformed. */
Result<ImagePart> decodeImagePart(const Bytes &payload);

} // namespace Heatherridge
