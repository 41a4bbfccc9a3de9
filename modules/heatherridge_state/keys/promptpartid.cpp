#include "heatherridge_state/keys/promptpartid.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>
#include <xxhash.h>

namespace Heatherridge
{

PromptPartId promptPartIdOf(const ServiceName &service, std::uint64_t part)
{
    return {.value = XXH3_64bits_withSeed(service.text().data(), service.text().size(), part)};
}

std::vector<PromptPartId> promptPartIdsOf(const ServiceName &service, const std::vector<std::uint64_t> &parts)
{
    std::vector<PromptPartId> ids;
    ids.reserve(parts.size());
    for (const auto part : parts) {
        const auto id = promptPartIdOf(service, part);
        if (std::find(ids.begin(), ids.end(), id) == ids.end()) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::string toString(PromptPartId part)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, part.value);
    return text.data();
}

std::string toString(const std::vector<PromptPartId> &parts)
{
    std::string text;
    for (const auto part : parts) {
        text += (text.empty() ? "" : ",") + toString(part);
    }
    return text;
}

} // namespace Heatherridge
