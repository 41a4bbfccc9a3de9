#include "heatherridge_coordination/config/snapshotloader.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

constexpr std::size_t FirstWindow = 64;
constexpr std::size_t PageParts = 16;

} // namespace

SnapshotLoader::SnapshotLoader(LogService &service, Done done)
    : m_service(service)
    , m_done(std::move(done))
    , m_windowSize(FirstWindow)
{
}

void SnapshotLoader::start()
{
    read(LogOffset{1}, 1); // says where the stream begins and ends
}

std::uint64_t SnapshotLoader::damagedParts() const
{
    return m_damagedParts;
}

void SnapshotLoader::read(LogOffset from, std::size_t most)
{
    m_service.read(SnapshotStream, from, most, std::chrono::milliseconds(0),
                   [this, alive = std::weak_ptr(m_alive)](const Result<LogPage> &result) {
                       if (!alive.expired()) {
                           take(result);
                       }
                   });
}

void SnapshotLoader::take(const Result<LogPage> &result)
{
    if (const auto *error = errorIn(result)) {
        m_done(*error);
        return;
    }
    const auto &page = std::get<LogPage>(result);
    m_first = std::max(page.first, LogOffset{1});
    if (!m_probed) {
        m_probed = true;
        m_last = page.last;
        const auto last = toNumber(m_last);
        m_windowBegin = std::max(m_first, LogOffset{last > m_windowSize ? last - m_windowSize + 1 : 1});
        if (m_last < m_first) {
            m_done(std::optional<AssembledImage>());
            return;
        }
        read(m_windowBegin, PageParts);
        return;
    }
    takeRecords(page);
    if (page.records.empty()) {
        // The window's begin has expired while it was read, or the log has nothing more.
        finishWindow();
        return;
    }
    const auto reached = page.records.back().offset;
    if (reached < m_last) {
        read(next(reached), PageParts);
    } else {
        finishWindow();
    }
}

void SnapshotLoader::takeRecords(const LogPage &page)
{
    for (const auto &record : page.records) {
        const auto part = decodeImagePart(record.payload);
        if (errorIn(part) != nullptr) {
            ++m_damagedParts;
            continue;
        }
        auto whole = m_assembler.take(std::get<ImagePart>(part));
        // A whole that does not match its own digest is as good as torn; an older one may still be sound.
        if (whole && digestOf(whole->image) == whole->claimed
            && (!m_best || whole->image.offset > m_best->image.offset)) {
            m_best = std::move(whole);
        }
    }
}

void SnapshotLoader::finishWindow()
{
    if (m_best || m_windowBegin <= m_first) {
        m_done(std::move(m_best));
        return;
    }
    m_windowSize *= 2;
    const auto last = toNumber(m_last);
    m_windowBegin = std::max(m_first, LogOffset{last > m_windowSize ? last - m_windowSize + 1 : 1});
    m_assembler = {};
    read(m_windowBegin, PageParts);
}

} // namespace Heatherridge
