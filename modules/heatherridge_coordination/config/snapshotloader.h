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
    using Callback = std::function<void(Result<std::optional<AssembledImage>>)>;

    SnapshotLoader(LogService &service, Callback callback);

    /** Begins; calls back once. */
    void start();

    /** Parts read that were damaged. */
    std::uint64_t damagedParts() const;

private:
    void read(LogOffset from, std::size_t maxRecords);
    void handleResult(const Result<LogPage> &result);
    void addRecords(const LogPage &page);
    void finishWindow();

    LogService &m_service;
    Callback m_callback;
    ImageAssembler m_assembler;
    std::optional<AssembledImage> m_best;
    bool m_hasBounds = false;
    LogOffset m_firstOffset{};
    LogOffset m_lastOffset{};
    LogOffset m_windowStart{};
    std::size_t m_windowSize;
    std::uint64_t m_damagedParts = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Heatherridge
