#include "heatherridge_coordination/config/imageassembler.h"

#include "heatherridge_protocol/configimagecodec.h"

#include <algorithm>

namespace Heatherridge
{

std::optional<AssembledImage> ImageAssembler::addPart(const ImagePart &part)
{
    auto &partial = findOrCreatePartialImage(part);
    auto &slot = partial.parts.at(part.index);
    if (slot) {
        return std::nullopt;
    }
    slot = part.bytes;
    if (--partial.missing > 0) {
        return std::nullopt;
    }
    Bytes bytes;
    for (const auto &partBytes : partial.parts) {
        bytes.insert(bytes.end(), partBytes->begin(), partBytes->end());
    }
    auto image = decodeConfigImage(bytes);
    if (errorIn(image) != nullptr) {
        return std::nullopt;
    }
    return AssembledImage{.image = std::get<ConfigImage>(std::move(image)), .claimedDigest = part.digest};
}

ImageAssembler::PartialImage &ImageAssembler::findOrCreatePartialImage(const ImagePart &part)
{
    const auto partial = std::find_if(m_partialImages.begin(), m_partialImages.end(), [&part](const auto &candidate) {
        return candidate.covers == part.covers && candidate.digest == part.digest
            && candidate.parts.size() == part.count;
    });
    if (partial != m_partialImages.end()) {
        return *partial;
    }
    if (m_partialImages.size() == MaxPartialImages) {
        m_partialImages.pop_front();
    }
    return m_partialImages.emplace_back(PartialImage{.covers = part.covers,
                                                     .digest = part.digest,
                                                     .parts = std::vector<std::optional<Bytes>>(part.count),
                                                     .missing = part.count});
}

} // namespace Heatherridge
