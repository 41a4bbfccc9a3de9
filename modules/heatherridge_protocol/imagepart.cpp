#include "heatherridge_protocol/imagepart.h"

#include "heatherridge_protocol/cborreader.h"
#include "heatherridge_protocol/configimagecodec.h"
#include "heatherridge_state/fold/digestbuilder.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

std::uint64_t checksumOf(const ImagePart &part)
{
    DigestBuilder digest;
    digest.add(toNumber(part.covers)).add(toNumber(part.digest)).add(part.index).add(part.count);
    // The cast is safe: the bytes are only hashed, and the builder accepts a string view.
    return digest.add(std::string_view(reinterpret_cast<const char *>(part.bytes.data()), part.bytes.size())).finish();
}

} // namespace

std::vector<ImagePart> splitImage(const ConfigImage &image)
{
    const auto bytes = encodeConfigImage(image);
    const auto count = (bytes.size() + MaxImagePartBytes - 1) / MaxImagePartBytes;
    std::vector<ImagePart> parts;
    if (count > MaxImageParts) {
        return parts;
    }
    const auto digest = digestOf(image);
    for (std::size_t index = 0; index < count; ++index) {
        const auto from = index * MaxImagePartBytes;
        const auto to = std::min(from + MaxImagePartBytes, bytes.size());
        parts.push_back({.covers = image.offset,
                         .digest = digest,
                         .index = index,
                         .count = count,
                         .bytes = Bytes(bytes.begin() + static_cast<std::ptrdiff_t>(from),
                                        bytes.begin() + static_cast<std::ptrdiff_t>(to))});
    }
    return parts;
}

Bytes encodeImagePart(const ImagePart &part)
{
    return toCbor({{"covers", toNumber(part.covers)},
                   {"digest", toNumber(part.digest)},
                   {"index", part.index},
                   {"count", part.count},
                   {"bytes", binary(part.bytes)},
                   {"checksum", checksumOf(part)}});
}

Result<ImagePart> decodeImagePart(const Bytes &payload)
{
    nlohmann::json map;
    if (!CborReader::parse(payload, map)) {
        return malformedError("no CBOR map");
    }
    CborReader reader(map);
    ImagePart part;
    part.covers = static_cast<LogOffset>(reader.number("covers"));
    part.digest = static_cast<Digest>(reader.number("digest"));
    part.count = reader.number("count", MaxImageParts);
    part.index = reader.number("index", MaxImageParts - 1);
    part.bytes = reader.bytes("bytes");
    const auto checksum = reader.number("checksum");
    if (part.index >= part.count) {
        reader.fail("index");
    }
    if (part.bytes.size() > MaxImagePartBytes) {
        reader.fail("bytes");
    }
    if (checksum != checksumOf(part)) {
        reader.fail("checksum");
    }
    if (!reader.ok()) {
        return malformedError("image part field " + reader.failedKey());
    }
    return part;
}

} // namespace Heatherridge
