#pragma once

#include "support/scriptedtarget.h"

#include <atomic>
#include <map>
#include <string>

namespace Heatherridge
{

/**
 * The platform's log on the loopback interface, with registers that never change.
 *
 * Members that join a group are assigned all partitions of the first topic. Other records are accepted and dropped.
 */
class PlatformLogStandin
{
public:
    /** Values of one register by their keys. */
    using Register = std::map<std::string, std::string>;

    /** @param registers by their topics */
    explicit PlatformLogStandin(std::map<std::string, Register> registers);

    /** Returns the endpoint listened on. */
    Endpoint endpoint() const;

    /** Sets whether each request resets its connection instead of being answered. */
    void setAway(bool isAway);

private:
    std::vector<TargetAction> answer(const std::string &request) const;

    const std::map<std::string, Register> m_registers;
    std::atomic<bool> m_isAway{false};
    ScriptedTarget m_server;
};

} // namespace Heatherridge
