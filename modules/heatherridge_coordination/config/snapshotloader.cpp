#include "heatherridge_coordination/config/snapshotloader.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

constexpr std::size_t InitialWindowSize = 64;
constexpr std::size_t PartsPerPage = 16;

} // namespace

SnapshotLoader::SnapshotLoader(LogService &service, Callback callback)
    : m_service(service)
    , m_callback(std::move(callback))
    , m_windowSize(InitialWindowSize)
{
}

void SnapshotLoader::start()
{
    read(LogOffset{1}, 1); // determines where the stream begins and ends
}

std::uint64_t SnapshotLoader::damagedParts() const
{
    return m_damagedParts;
}

void SnapshotLoader::read(LogOffset from, std::size_t maxRecords)
{
    m_service.read(SnapshotStream, from, maxRecords, std::chrono::milliseconds(0),
                   [this, alive = std::weak_ptr(m_alive)](const Result<LogPage> &result) {
                       if (!alive.expired()) {
                           handleResult(result);
                       }
                   });
}

void SnapshotLoader::handleResult(const Result<LogPage> &result)
{
    if (const auto *error = errorIn(result)) {
        m_callback(*error);
        return;
    }
    const auto &page = std::get<LogPage>(result);
    m_firstOffset = std::max(page.first, LogOffset{1});
    if (!m_hasBounds) {
        m_hasBounds = true;
        m_lastOffset = page.last;
        const auto last = toNumber(m_lastOffset);
        m_windowStart = std::max(m_firstOffset, LogOffset{last > m_windowSize ? last - m_windowSize + 1 : 1});
        if (m_lastOffset < m_firstOffset) {
            m_callback(std::optional<AssembledImage>());
            return;
        }
        read(m_windowStart, PartsPerPage);
        return;
    }
    addRecords(page);
    if (page.records.empty()) {
        // The start of the window expired while it was read, or the log has no more records.
        finishWindow();
        return;
    }
    const auto lastRead = page.records.back().offset;
    if (lastRead < m_lastOffset) {
        read(next(lastRead), PartsPerPage);
    } else {
        finishWindow();
    }
}

void SnapshotLoader::addRecords(const LogPage &page)
{
    for (const auto &record : page.records) {
        const auto part = decodeImagePart(record.payload);
        if (errorIn(part) != nullptr) {
            ++m_damagedParts;
            continue;
        }
        auto assembled = m_assembler.addPart(std::get<ImagePart>(part));
        // A complete image that does not match its digest is as unusable as a partial one; an older one may still be
        // valid.
        if (assembled && digestOf(assembled->image) == assembled->claimedDigest
            && (!m_best || assembled->image.offset > m_best->image.offset)) {
            m_best = std::move(assembled);
        }
    }
}

void SnapshotLoader::finishWindow()
{
    if (m_best || m_windowStart <= m_firstOffset) {
        m_callback(std::move(m_best));
        return;
    }
    m_windowSize *= 2;
    const auto last = toNumber(m_lastOffset);
    m_windowStart = std::max(m_firstOffset, LogOffset{last > m_windowSize ? last - m_windowSize + 1 : 1});
    m_assembler = {};
    read(m_windowStart, PartsPerPage);
}

} // namespace Heatherridge
