#pragma once

#include "heatherridge_coordination/config/imageassembler.h"
#include "heatherridge_coordination/logservice.h"

#include <functional>
#include <memory>

namespace Heatherridge
{

/** The stream that holds snapshots; only processes without a usable state read it. */
inline const StreamName SnapshotStream{"control-snapshots"};

/**
 * Finds the newest complete snapshot by reading the snapshot stream backwards in windows that double in size.
 *
 * Each instance performs one search. The service must outlive it; answers that arrive after its destruction are
 * dropped. Single-threaded.
 */
class SnapshotLoader
{
public:
    /** Receives the snapshot, empty if the stream holds no complete one, or the error of the log. */
    using Callback = std::function<void(Result<std::optional<AssembledImage>>)>;

    SnapshotLoader(LogService &service, Callback callback);

    /** Starts the search; the callback is called once. */
    void start();

    /** Returns the number of damaged parts read. */
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
