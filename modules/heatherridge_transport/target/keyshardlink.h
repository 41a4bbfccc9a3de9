#pragma once

#include "heatherridge_coordination/heatherridge_coordination.h"
#include "heatherridge_coordination/keys/keygate.h"
#include "heatherridge_transport/app/eventloop.h"

#include <functional>
#include <memory>

namespace Heatherridge
{

/**
 * Connects one KeyGate to the platform's log: reads its stream, performs its appends, and informs it whether the log is
 * available. All other actions of the gate are passed to the owner. All methods must be called on the loop's thread.
 */
class KeyShardLink
{
public:
    struct Options
    {
        StreamName stream{};
        std::chrono::milliseconds readWait{5000}; ///< maximum time that a read waits for the next record
        std::chrono::milliseconds retryDelay{250}; ///< delay before a failed read or append is retried
        std::chrono::milliseconds appendInterval{20}; ///< mean time between appends; all processes share the log
        KeyGate::Options gate{};
    };

    /** Performs the gate's actions except appends, which the link performs itself. */
    using ActionHandler = std::function<void(const KeyAction &action)>;

    KeyShardLink(EventLoop &loop, LogService &log, GateId self, Options options, ActionHandler perform);

    KeyShardLink(const KeyShardLink &) = delete;
    KeyShardLink &operator=(const KeyShardLink &) = delete;

    /** Starts reading. */
    void start();

    /** Returns the gate. The actions that its methods return must be passed to perform(). */
    KeyGate &gate();

    /** Performs the actions returned by a call of the gate. */
    void perform(const KeyActions &actions);

    /** Returns whether the log is available, as observed by this link. */
    bool isLogAvailable() const;

    /** Return the number of appends made so far, and of the records in them. */
    std::uint64_t appends() const;
    std::uint64_t recordsAppended() const;

private:
    std::chrono::milliseconds reserveAppend();
    void read();
    void handlePage(const LogPage &page);
    void append(const std::shared_ptr<const KeyBatch> &batch);
    void handleAppendResult(const std::shared_ptr<const KeyBatch> &batch, const Result<LogOffset> &result);
    void setLogAvailable(bool available);

    EventLoop &m_loop;
    LogService &m_log;
    Options m_options;
    ActionHandler m_actionHandler;
    KeyGate m_gate;
    LogOffset m_lastRead{};
    SteadyTime m_nextAppend{}; ///< may lie in the past, which allows a burst
    std::uint64_t m_appendCount = 0;
    std::uint64_t m_recordsAppended = 0;
    bool m_logAvailable = false;
    bool m_appendFailing = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< lets late callbacks detect destruction
};

} // namespace Heatherridge
