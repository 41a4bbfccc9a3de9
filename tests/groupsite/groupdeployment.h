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

/** A group of four ranks made of the real programs: log, rank stand-ins, and the process beside each rank. */
class GroupDeployment
{
public:
    static constexpr int Ranks = 4;

    /** Starts all and waits until every rank steps. */
    GroupDeployment();

    /** Starts the process beside @p rank, at its old addresses when it had some. */
    void startGate(int rank);

    /** Kills the process beside @p rank. */
    void killGate(int rank);

    /** Kills @p rank's engine and starts it anew at its old address. */
    void restartEngine(int rank);

    /** Makes @p expert hot on all ranks. */
    void setHotExpert(int expert);

    /** Cuts the log off, or gives it back. */
    void setLogOutage(bool out);

    /** Publishes the inventory with @p withdrawn withdrawn; -1 for none. */
    void publishInventory(int withdrawnRank);

    /** The rank whose process leads, or -1. */
    int leaderRank() const;

    /** The least map number that any of @p ranks uses. */
    std::uint64_t minMapNumber(const std::vector<int> &ranks) const;

    /** What @p rank's engine says of its steps; null when it doesn't answer. */
    nlohmann::json stepReport(int rank) const;

    /** Whether no two ranks used different maps in one step, as far as their lists tell; says where in @p why. */
    bool mapsAgree(std::string &difference) const;

    /** Whether every rank of @p ranks starts further steps. */
    bool isStepping(const std::vector<int> &ranks) const;

    /** Asks @p done again and again until it is true; false after half a minute. */
    static bool waitUntil(const std::function<bool()> &condition);

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
