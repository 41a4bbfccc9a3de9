#pragma once

#include "support/childprocess.h"
#include "support/httpcalls.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Heatherridge
{

/** A group of four ranks that runs the real programs: the log, the rank stand-ins, and the target process of each rank.
 */
class GroupDeployment
{
public:
    static constexpr int Ranks = 4;

    /** Starts all processes and waits until every rank is stepping. */
    GroupDeployment();

    /** Starts the target process of @p rank, at its previous addresses if it had any. */
    void startGate(int rank);

    /** Kills the target process of @p rank. */
    void killGate(int rank);

    /** Kills the engine of @p rank and restarts it at its previous address. */
    void restartEngine(int rank);

    /** Increases the load of @p expert on all ranks. */
    void setHotExpert(int expert);

    /** Makes the log unavailable, or available again. */
    void setLogOutage(bool out);

    /** Publishes the inventory with rank @p withdrawnRank withdrawn, or none if -1. */
    void publishInventory(int withdrawnRank);

    /** Returns the rank whose process is the leader, or -1. */
    int leaderRank() const;

    /** Returns the lowest map number in use among @p ranks. */
    std::uint64_t minMapNumber(const std::vector<int> &ranks) const;

    /** Returns the step report of the engine of @p rank, or null if it does not respond. */
    nlohmann::json stepReport(int rank) const;

    /** Returns whether no two ranks used different maps in one step, according to their change lists; describes the
     * first difference in @p difference. */
    bool mapsAgree(std::string &difference) const;

    /** Returns whether all of @p ranks keep starting steps. */
    bool isStepping(const std::vector<int> &ranks) const;

    /** Waits until each of @p ranks has completed StepsOfProgress further steps of one epoch; returns whether they did
     * before MaxWait was over. */
    bool waitForProgress(const std::vector<int> &ranks) const;

    /** Polls @p condition until it is true; returns false after MaxWait. */
    static bool waitUntil(const std::function<bool()> &condition);

    /** Far above the time that any awaited event takes on a busy host: only an event that never happens exceeds it. */
    static constexpr std::chrono::seconds MaxWait{150};
    /** Steps that a group completes at once if it is not stalled. */
    static constexpr std::uint64_t StepsOfProgress = 20;

private:
    void sendRankAddresses();
    std::string inventoryText(int withdrawnRank) const;
    void publishDocument(const std::string &kind, const std::string &text);

    std::unique_ptr<ChildProcess> m_log;
    std::vector<std::unique_ptr<ChildProcess>> m_engines;
    std::vector<std::unique_ptr<ChildProcess>> m_gates;
    std::vector<Endpoint> m_gateEndpoints;
    std::vector<Endpoint> m_adminEndpoints;
    std::vector<Endpoint> m_engineEndpoints;
    int m_publishCount = 0;
};

} // namespace Heatherridge
