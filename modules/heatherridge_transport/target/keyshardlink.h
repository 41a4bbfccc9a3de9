#pragma once

#include "heatherridge_coordination/heatherridge_coordination.h"
#include "heatherridge_coordination/keys/keygate.h"
#include "heatherridge_transport/app/eventloop.h"

#include <functional>
#include <memory>

namespace Heatherridge
{

/**
 * Runs one KeyGate against the platform's log: reads its stream, makes its appends, and tells it whether the log is
 * reachable. What else the gate wants done is passed to the owner. On the loop's thread.
 */
class KeyShardLink
{
public:
    struct Options
    {
        StreamName stream{};
        std::chrono::milliseconds readWait{5000}; ///< how long a read waits for the next record
        std::chrono::milliseconds retryDelay{250}; ///< before a failed read or append is made again
        std::chrono::milliseconds appendInterval{20}; ///< mean time between appends, for the log is everyone's
        KeyGate::Options gate{};
    };

    /** Does @p actions but for appends, which the link makes itself. */
    using ActionHandler = std::function<void(const KeyAction &action)>;

    KeyShardLink(EventLoop &loop, LogService &log, GateId self, Options options, ActionHandler perform);

    KeyShardLink(const KeyShardLink &) = delete;
    KeyShardLink &operator=(const KeyShardLink &) = delete;

    /** Begins to read. */
    void start();

    /** The gate. Its actions go through perform(). */
    KeyGate &gate();

    /** Does what a call of the gate returned. */
    void perform(const KeyActions &actions);

    /** Whether the log is reachable, as far as seen from here. */
    bool isLogAvailable() const;

    /** Appends made, and records in them, so far. */
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
    SteadyTime m_nextAppend{}; ///< may lie in the past: what was saved up for a burst
    std::uint64_t m_appendCount = 0;
    std::uint64_t m_recordsAppended = 0;
    bool m_logAvailable = false;
    bool m_appendFailing = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< lets late callbacks see that the link is gone
};

} // namespace Heatherridge
