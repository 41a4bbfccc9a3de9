#pragma once

#include "heatherridge_protocol/imagepart.h"

#include <deque>
#include <optional>

namespace Heatherridge
{

/** A full state reassembled from its parts, not yet verified against its digest. */
struct AssembledImage
{
    ConfigImage image{};
    Digest claimedDigest{}; ///< the digest carried by its parts
};

/**
 * Reassembles states from parts that may arrive in any order, more than once, interleaved with those of other states,
 * or not at all.
 *
 * Several writers may write the same snapshot at once; their parts are identical and fill the same slots. A partially
 * written snapshot stays incomplete and is evicted by newer ones. Memory is bounded. Single-threaded.
 */
class ImageAssembler
{
public:
    /** Maximum number of incomplete states; the oldest is evicted when another one begins. */
    static constexpr std::size_t MaxPartialImages = 3;

    /** Adds @p part; @returns the state if this part completed it and it can be decoded. */
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
