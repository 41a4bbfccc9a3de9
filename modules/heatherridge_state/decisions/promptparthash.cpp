#include "heatherridge_state/decisions/promptparthash.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>
#include <xxhash.h>

namespace Heatherridge
{

PromptPart promptPartOf(const ServiceName &service, std::uint64_t id)
{
    return static_cast<PromptPart>(XXH3_64bits_withSeed(service.text().data(), service.text().size(), id));
}

std::vector<PromptPart> promptPartsOf(const ServiceName &service, std::span<const std::uint64_t> ids)
{
    std::vector<PromptPart> parts;
    parts.reserve(ids.size());
    for (const auto id : ids) {
        const auto part = promptPartOf(service, id);
        if (std::find(parts.begin(), parts.end(), part) == parts.end()) {
            parts.push_back(part);
        }
    }
    return parts;
}

std::string toString(PromptPart part)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, toNumber(part));
    return text.data();
}

std::string toString(std::span<const PromptPart> parts)
{
    std::string text;
    for (const auto part : parts) {
        text += (text.empty() ? "" : ",") + toString(part);
    }
    return text;
}

} // namespace Heatherridge
