#include "heatherridge_coordination/config/imageassembler.h"

#include "heatherridge_protocol/configimagecodec.h"

#include <algorithm>

namespace Heatherridge
{

std::optional<AssembledImage> ImageAssembler::take(const ImagePart &part)
{
    auto &open = openFor(part);
    auto &place = open.parts.at(part.index);
    if (place) {
        return std::nullopt;
    }
    place = part.bytes;
    if (--open.missing > 0) {
        return std::nullopt;
    }
    Bytes bytes;
    for (const auto &piece : open.parts) {
        bytes.insert(bytes.end(), piece->begin(), piece->end());
    }
    auto image = decodeConfigImage(bytes);
    if (errorIn(image) != nullptr) {
        return std::nullopt;
    }
    return AssembledImage{.image = std::get<ConfigImage>(std::move(image)), .claimed = part.digest};
}

ImageAssembler::Open &ImageAssembler::openFor(const ImagePart &part)
{
    const auto open = std::find_if(m_open.begin(), m_open.end(), [&part](const auto &candidate) {
        return candidate.covers == part.covers && candidate.digest == part.digest
            && candidate.parts.size() == part.count;
    });
    if (open != m_open.end()) {
        return *open;
    }
    if (m_open.size() == MaxOpen) {
        m_open.pop_front();
    }
    return m_open.emplace_back(Open{.covers = part.covers,
                                    .digest = part.digest,
                                    .parts = std::vector<std::optional<Bytes>>(part.count),
                                    .missing = part.count});
}

} // namespace Heatherridge
