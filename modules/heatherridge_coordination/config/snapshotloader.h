#pragma once

#include "heatherridge_coordination/config/imageassembler.h"
#include "heatherridge_coordination/logservice.h"

#include <functional>
#include <memory>

namespace Heatherridge
{

/** The stream that holds snapshots; only processes that lack the state read it. */
inline const StreamName SnapshotStream{"control-snapshots"};

/**
 * Finds the newest whole snapshot by reading the snapshot stream backwards, window by window.
 *
 * One run an object. The service must outlive it; answers that come after its end are dropped. One thread.
 */
class SnapshotLoader
{
public:
    /** The snapshot, nothing when the stream holds no whole one, or why the log gave no answer. */
    using Done = std::function<void(Result<std::optional<AssembledImage>>)>;

    SnapshotLoader(LogService &service, Done done);

    /** Begins; calls back once. */
    void start();

    /** Parts read that were damaged. */
    std::uint64_t damagedParts() const;

private:
    void read(LogOffset from, std::size_t most);
    void take(const Result<LogPage> &result);
    void takeRecords(const LogPage &page);
    void finishWindow();

    LogService &m_service;
    Done m_done;
    ImageAssembler m_assembler;
    std::optional<AssembledImage> m_best;
    bool m_probed = false;
    LogOffset m_first{};
    LogOffset m_last{};
    LogOffset m_windowBegin{};
    std::size_t m_windowSize;
    std::uint64_t m_damagedParts = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Heatherridge
