#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/base/ids.h"
#include "heatherridge_state/demand/fleetdemand.h"

#include <map>
#include <memory>
#include <vector>

namespace Heatherridge
{

/**
 * Measures the demand for streams at this gateway.
 *
 * Counts of streams are exact: each stream is represented by a Stream object, whose destruction ends it. Rates are
 * those of DecayingRate, rates of workspaces are subject to the error bound of BusiestWorkspaces: at most 1/64 of the
 * service's arrivals too low. Arrivals without a workspace count for their rank only. Single-threaded.
 */
class DemandMeter
{
    class ServiceMeter;

public:
    /** Streams that are counted together. */
    struct StreamClass
    {
        ServiceName service{};
        int priority = 0; ///< 0 is the highest
        WorkspaceName workspace{};
    };

    /**
     * One stream from its arrival to its end. Counted as neither waiting nor in progress until told otherwise.
     *
     * May outlive the meter. A default-constructed or moved-from object represents no stream; calls on it do nothing.
     */
    class Stream
    {
    public:
        Stream() = default;
        ~Stream();
        Stream(Stream &&other) noexcept;
        Stream &operator=(Stream &&other) noexcept;
        Stream(const Stream &) = delete;
        Stream &operator=(const Stream &) = delete;

        /** The stream waits for an engine. */
        void setWaiting();

        /** The stream was sent to an engine. */
        void setInProgress();

        /** The stream neither waits nor is in progress, for example between two attempts. */
        void setIdle();

    private:
        friend class DemandMeter;

        enum class State {
            Idle,
            Waiting,
            InProgress,
        };

        Stream(std::shared_ptr<ServiceMeter> meter, int priority, WorkspaceName workspace);
        void setState(State state);
        void end();

        std::shared_ptr<ServiceMeter> m_meter;
        int m_priority = 0;
        WorkspaceName m_workspace{};
        State m_state = State::Idle;
    };

    DemandMeter();
    ~DemandMeter();
    DemandMeter(const DemandMeter &) = delete;
    DemandMeter &operator=(const DemandMeter &) = delete;

    /** Records that a stream arrived, including one that its caller repeats. */
    Stream recordArrival(const StreamClass &streamClass, SteadyTime now);

    /** Returns the demand of all services that have any; of the MaxDemandServices busiest if there are more. */
    std::vector<ServiceDemand> demand(SteadyTime now) const;

    /**
     * Returns the demand of @p service, within the limits of ServiceDemand: streams of ranks below the
     * MaxDemandRanks highest are counted as of the lowest of these.
     */
    ServiceDemand demandOf(const ServiceName &service, SteadyTime now) const;

private:
    std::map<ServiceName, std::shared_ptr<ServiceMeter>> m_services;
};

} // namespace Heatherridge
