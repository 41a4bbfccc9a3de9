#pragma once

#include "heatherridge_state/base/ids.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace Heatherridge
{

/** Identifies a part of a prompt that several requests for one service may share. */
struct PromptPartId
{
    std::uint64_t value = 0;

    auto operator<=>(const PromptPartId &) const = default;
    bool operator==(const PromptPartId &) const = default;
};

/** Returns the id of the part that callers of @p service name @p part. */
PromptPartId promptPartIdOf(const ServiceName &service, std::uint64_t part);

/** Returns the ids of the parts that callers of @p service name @p parts, in their order and without repetitions. */
std::vector<PromptPartId> promptPartIdsOf(const ServiceName &service, const std::vector<std::uint64_t> &parts);

/** Returns @p part as 16 hexadecimal digits. */
std::string toString(PromptPartId part);

/** Returns @p parts separated by commas. */
std::string toString(const std::vector<PromptPartId> &parts);

} // namespace Heatherridge
