#include "heatherridge_coordination/feed/rulescopies.h"

#include <utility>

namespace Heatherridge
{

RulesCopies::RulesCopies(RegisterLog &log, Options options, Events events)
    : m_log(log)
    , m_options(options)
    , m_events(std::move(events))
    , m_copies(static_cast<std::size_t>(options.count))
    , m_callToken(std::make_shared<int>(0))
{
}

void RulesCopies::setRules(const RegisterChange &rules, std::uint64_t version)
{
    m_rules = rules;
    m_version = version;
}

void RulesCopies::setDrains(const std::set<ZoneName> &zones, std::uint64_t position)
{
    for (auto &copy : m_copies) {
        copy.needsRead = copy.needsRead || zones != m_drainedZones;
        copy.replacesAllDrains = copy.replacesAllDrains || position < m_position;
    }
    m_drainedZones = zones;
    m_position = position;
}

void RulesCopies::logRestored()
{
    m_callToken = std::make_shared<int>(0);
    for (auto &copy : m_copies) {
        copy.versions.reset();
        copy.drains.clear();
        copy.replacesAllDrains = true;
        copy.isCalling = false;
        copy.nextCallAt = m_now;
    }
}

void RulesCopies::tick(Duty duty, SteadyTime now)
{
    m_now = now;
    for (std::size_t index = 0; index < m_copies.size(); ++index) {
        auto &copy = m_copies[index];
        if (copy.isCalling || now < copy.nextCallAt) {
            continue;
        }
        const auto number = static_cast<int>(index);
        if (duty.reads) {
            read(number, true);
        } else if (duty.writes && m_rules && (!copy.versions || copy.needsRead)) {
            read(number, false); // determines which records the next write removes
        } else if (duty.writes && m_rules && (!copy.versions->contains(m_version) || !hasCurrentDrains(copy))) {
            write(number);
        } else if (duty.writes && m_rules) {
            copy.replacesAllDrains = false;
        }
    }
}

void RulesCopies::read(int index, bool restores)
{
    m_copies[index].isCalling = true;
    m_copies[index].needsRead = false;
    m_log.readCopy(index, [this, index, restores, token = std::weak_ptr(m_callToken)](Result<RulesCopy> read) {
        if (token.expired()) {
            return;
        }
        auto &copy = m_copies[index];
        copy.isCalling = false;
        if (const auto *error = errorIn(read)) {
            copy.needsRead = true;
            handleFailure(copy, "read", *error, restores ? m_options.restoreRetryDelay : m_options.callInterval);
            return;
        }
        const auto &records = std::get<RulesCopy>(read);
        copy.versions = records.versions;
        copy.drains = records.drains;
        if (restores) {
            copy.nextCallAt = m_now + m_options.callInterval;
            restore(records);
        }
    });
}

void RulesCopies::write(int index)
{
    auto &copy = m_copies[index];
    copy.isCalling = true;
    RulesCopyUpdate update{.version = m_version};
    if (!copy.versions->contains(m_version)) {
        update.rules = m_rules;
        update.droppedVersions = {copy.versions->begin(), copy.versions->lower_bound(m_version)};
    }
    if (!hasCurrentDrains(copy)) {
        addDrains(update, copy);
    }
    const bool replacesAllDrains = std::exchange(copy.replacesAllDrains, false);
    m_log.writeCopy(
        index, update,
        [this, index, update, replacesAllDrains, token = std::weak_ptr(m_callToken)](const Result<std::size_t> &kept) {
            if (token.expired()) {
                return;
            }
            auto &written = m_copies[index];
            written.isCalling = false;
            if (const auto *error = errorIn(kept)) {
                written.replacesAllDrains = written.replacesAllDrains || replacesAllDrains;
                handleFailure(written, "write", *error, m_options.callInterval);
                return;
            }
            for (const auto &[old, records] : update.droppedVersions) {
                written.versions->erase(old);
            }
            if (update.rules) {
                written.versions->insert_or_assign(update.version, std::get<std::size_t>(kept));
            }
            for (const auto &stamp : update.droppedDrains) {
                written.drains.erase(stamp);
            }
            for (const auto &[stamp, zones] : update.drains) {
                written.drains.insert_or_assign(stamp, zones);
            }
        });
}

void RulesCopies::restore(const RulesCopy &stored)
{
    for (auto record = stored.drains.rbegin(); record != stored.drains.rend(); ++record) {
        const auto &[stamp, zones] = *record;
        if (!zones) {
            m_events.failed("read",
                            {.kind = ErrorKind::BadRequest, .detail = "a record of drained zones is malformed"});
            continue;
        }
        if (!m_restoredDrains || *m_restoredDrains < stamp) {
            m_restoredDrains = stamp;
            m_events.drainsRestored(*zones);
        }
        break;
    }
    m_events.restored(stored.changes);
}

DrainsStamp RulesCopies::drainsStamp() const
{
    return {.version = m_version, .position = m_position};
}

bool RulesCopies::hasCurrentDrains(const Copy &copy) const
{
    const auto stamp = drainsStamp();
    if (copy.drains.empty()) {
        return m_drainedZones.empty();
    }
    const auto &[newest, zones] = *copy.drains.rbegin();
    if (newest > stamp) {
        return !copy.replacesAllDrains; // another writer has read more of the register
    }
    return !m_drainedZones.empty() && newest.version == m_version && zones == m_drainedZones;
}

void RulesCopies::addDrains(RulesCopyUpdate &update, const Copy &copy) const
{
    const auto stamp = drainsStamp();
    for (const auto &[stored, zones] : copy.drains) {
        if (stored < stamp || (copy.replacesAllDrains && stored != stamp)) {
            update.droppedDrains.insert(stored);
        }
    }
    if (m_drainedZones.empty()) {
        if (copy.drains.contains(stamp)) {
            update.droppedDrains.insert(stamp);
        }
    } else {
        update.drains.emplace(stamp, m_drainedZones);
    }
}

void RulesCopies::handleFailure(Copy &copy, std::string_view what, const Error &error, std::chrono::milliseconds delay)
{
    copy.nextCallAt = m_now + delay;
    m_events.failed(what, error);
}

} // namespace Heatherridge
