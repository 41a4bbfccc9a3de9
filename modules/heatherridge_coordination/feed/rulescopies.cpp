#include "heatherridge_coordination/feed/rulescopies.h"

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

void RulesCopies::logRestored()
{
    m_callToken = std::make_shared<int>(0);
    for (auto &copy : m_copies) {
        copy.versions.reset();
        copy.isCalling = false;
        copy.nextCallAt = m_now;
    }
}

void RulesCopies::tick(Duty duty, SteadyTime now)
{
    m_now = now;
    for (std::size_t index = 0; index < m_copies.size(); ++index) {
        const auto &copy = m_copies[index];
        if (copy.isCalling || now < copy.nextCallAt) {
            continue;
        }
        const auto number = static_cast<int>(index);
        if (duty.reads) {
            read(number, true);
        } else if (duty.writes && m_rules && !copy.versions) {
            read(number, false); // determines which records the next write removes
        } else if (duty.writes && m_rules && !copy.versions->contains(m_version)) {
            write(number);
        }
    }
}

void RulesCopies::read(int index, bool restores)
{
    m_copies[index].isCalling = true;
    m_log.readCopy(index, [this, index, restores, token = std::weak_ptr(m_callToken)](Result<RulesCopy> read) {
        if (token.expired()) {
            return;
        }
        auto &copy = m_copies[index];
        copy.isCalling = false;
        if (const auto *error = errorIn(read)) {
            handleFailure(copy, "read", *error, restores ? m_options.restoreRetryDelay : m_options.callInterval);
            return;
        }
        const auto &records = std::get<RulesCopy>(read);
        copy.versions = records.versions;
        if (restores) {
            copy.nextCallAt = m_now + m_options.callInterval;
            m_events.restored(records.changes);
        }
    });
}

void RulesCopies::write(int index)
{
    auto &copy = m_copies[index];
    copy.isCalling = true;
    const std::map<std::uint64_t, std::size_t> dropped(copy.versions->begin(), copy.versions->lower_bound(m_version));
    m_log.writeCopy(index, *m_rules, m_version, dropped,
                    [this, index, dropped, version = m_version,
                     token = std::weak_ptr(m_callToken)](const Result<std::size_t> &kept) {
                        if (token.expired()) {
                            return;
                        }
                        auto &written = m_copies[index];
                        written.isCalling = false;
                        if (const auto *error = errorIn(kept)) {
                            handleFailure(written, "write", *error, m_options.callInterval);
                            return;
                        }
                        for (const auto &[old, records] : dropped) {
                            written.versions->erase(old);
                        }
                        written.versions->insert_or_assign(version, std::get<std::size_t>(kept));
                    });
}

void RulesCopies::handleFailure(Copy &copy, std::string_view what, const Error &error, std::chrono::milliseconds delay)
{
    copy.nextCallAt = m_now + delay;
    m_events.failed(what, error);
}

} // namespace Heatherridge
