#pragma once

#include "support/scriptedtarget.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <memory>
#include <numeric>
#include <vector>

namespace Heatherridge
{

/** A set of targets, each with its own port. */
class CrashableTargets
{
public:
    CrashableTargets(std::size_t count, const ScriptedTarget::Script &script)
    {
        while (m_targets.size() < count) {
            m_targets.push_back(std::make_unique<ScriptedTarget>(script));
        }
    }

    std::vector<const ScriptedTarget *> all() const
    {
        std::vector<const ScriptedTarget *> all;
        std::transform(m_targets.begin(), m_targets.end(), std::back_inserter(all),
                       [](const auto &target) { return target.get(); });
        return all;
    }

    std::ptrdiff_t crashedCount() const
    {
        return std::count_if(m_targets.begin(), m_targets.end(),
                             [](const auto &target) { return target->hasCrashed(); });
    }

    std::size_t requestCount() const
    {
        return std::accumulate(m_targets.begin(), m_targets.end(), std::size_t{0},
                               [](std::size_t sum, const auto &target) { return sum + target->requests().size(); });
    }

private:
    std::vector<std::unique_ptr<ScriptedTarget>> m_targets;
};

} // namespace Heatherridge
