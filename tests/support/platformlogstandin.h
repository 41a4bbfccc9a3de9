#pragma once

#include "support/scriptedtarget.h"

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

private:
    std::vector<TargetAction> answer(const std::string &request) const;

    const std::map<std::string, Register> m_registers;
    ScriptedTarget m_server;
};

} // namespace Heatherridge
