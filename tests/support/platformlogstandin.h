#pragma once

#include "support/scriptedtarget.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace Heatherridge
{

/**
 * The platform's log on the loopback interface, with registers that never change.
 *
 * Keeps what is appended to other keyed topics. Members that join a group are assigned all partitions of the first
 * topic. Other records are accepted and dropped.
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

    /** Returns the newest value of @p key in any partition of the keyed topic @p topic; empty if there is none. */
    std::string newest(const std::string &topic, const std::string &key) const;

private:
    std::vector<TargetAction> answer(const std::string &request);
    Register registerAt(const std::string &topic, const std::string &partition) const;
    void keep(const std::string &topic, const std::string &partition, std::string_view records);

    const std::map<std::string, Register> m_registers;
    std::atomic<bool> m_isAway{false};
    mutable std::mutex m_mutex;
    std::map<std::string, std::map<std::string, Register>> m_appended; ///< by topic and partition
    ScriptedTarget m_server;
};

} // namespace Heatherridge
