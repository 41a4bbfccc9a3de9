#pragma once

#include "heatherridge_state/decisions/promptpartrecord.h"

#include <span>
#include <string>
#include <vector>

namespace Heatherridge
{

/** Returns the part that callers of @p service name @p id. */
PromptPart promptPartOf(const ServiceName &service, std::uint64_t id);

/** Returns the parts that callers of @p service name @p ids, in their order and without repetitions. */
std::vector<PromptPart> promptPartsOf(const ServiceName &service, std::span<const std::uint64_t> ids);

/** Returns @p part as 16 hexadecimal digits. */
std::string toString(PromptPart part);

/** Returns @p parts separated by commas. */
std::string toString(std::span<const PromptPart> parts);

} // namespace Heatherridge
