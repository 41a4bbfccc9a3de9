#pragma once

#include "heatherridge_protocol/imagepart.h"

#include <deque>
#include <optional>

namespace Heatherridge
{

/** A whole state put together from its parts, not yet checked against its digest. */
struct AssembledImage
{
    ConfigImage image{};
    Digest claimedDigest{}; ///< the digest that its parts carried
};

/**
 * Puts states together from parts that come in any order, doubled, mixed with those of other states, or not at all.
 *
 * Several writers may take the same snapshot at once; their parts are equal and fill the same places. A torn snapshot
 * stays incomplete and is pushed out by newer ones. Memory is bounded. One thread.
 */
class ImageAssembler
{
public:
    /** States that are put together at a time; the one started longest ago gives way. */
    static constexpr std::size_t MaxPartialImages = 3;

    /** Takes @p part; @returns the state when it was the last one missing and the whole can be read. */
    std::optional<AssembledImage> addPart(const ImagePart &part);

private:
    struct PartialImage
    {
        LogOffset covers{};
        Digest digest{};
        std::vector<std::optional<Bytes>> parts{};
        std::size_t missing = 0;
    };

    PartialImage &findOrCreatePartialImage(const ImagePart &part);

    std::deque<PartialImage> m_partialImages;
};

} // namespace Heatherridge
