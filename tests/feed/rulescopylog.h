#pragma once

#include "support/stubregisterlog.h"

#include <algorithm>
#include <array>
#include <map>

namespace Heatherridge
{

/** A register of rules and its copies, in partitions that can be unavailable; every call is answered at once. */
class RulesCopyLog final : public StubRegisterLog
{
public:
    static constexpr int CopyCount = 3;

    /** Appends a record to the register: "config" with a version, or "drain/ZONE"; no value removes the key. */
    void writeRegister(const std::string &key, std::optional<std::string> value)
    {
        registerRecords.push_back({.key = key, .value = std::move(value), .offset = registerRecords.size()});
    }

    void readNewest(RegisterKind kind, Done done) override
    {
        if (isRegisterUnavailable) {
            done(Error{.kind = ErrorKind::PlatformUnavailable});
            return;
        }
        RegisterPage page;
        if (kind == RegisterKind::Rules) {
            std::map<std::string, RegisterChange> newest;
            for (const auto &record : registerRecords) {
                newest.insert_or_assign(record.key, record);
            }
            for (const auto &[key, record] : newest) {
                if (record.value) {
                    page.changes.push_back(record);
                }
            }
            page.end = registerRecords.size();
        }
        done(std::move(page));
    }

    void read(RegisterKind kind, std::uint64_t from, std::chrono::milliseconds, Done done) override
    {
        if (isRegisterUnavailable) {
            done(Error{.kind = ErrorKind::PlatformUnavailable});
            return;
        }
        RegisterPage page{.end = from};
        if (kind == RegisterKind::Rules) {
            page.changes.assign(registerRecords.begin() + static_cast<std::ptrdiff_t>(from), registerRecords.end());
            page.end = registerRecords.size();
        }
        done(std::move(page));
    }

    void readCopy(int copy, std::function<void(Result<RulesCopy>)> done) override
    {
        ++reads;
        if (isUnavailable[copy]) {
            done(Error{.kind = ErrorKind::PlatformUnavailable});
            return;
        }
        RulesCopy stored;
        for (const auto &[version, rules] : records[copy]) {
            stored.versions.emplace(version, 1);
            stored.changes.push_back(rules);
        }
        stored.drains = drains[copy];
        done(std::move(stored));
    }

    void writeCopy(int copy, const RulesCopyUpdate &update, std::function<void(Result<std::size_t>)> done) override
    {
        ++writes;
        if (isUnavailable[copy]) {
            done(Error{.kind = ErrorKind::PlatformUnavailable});
            return;
        }
        if (update.rules) {
            records[copy][update.version] = *update.rules;
        }
        for (const auto &[old, count] : update.droppedVersions) {
            records[copy].erase(old);
        }
        drainsChanges += static_cast<int>(update.drains.size() + update.droppedDrains.size());
        for (const auto &[stamp, zones] : update.drains) {
            drains[copy][stamp] = zones;
        }
        for (const auto &stamp : update.droppedDrains) {
            drains[copy].erase(stamp);
        }
        if (losesAnswers) {
            done(Error{.kind = ErrorKind::PlatformUnavailable});
            return;
        }
        done(update.rules ? std::size_t{1} : std::size_t{0});
    }

    std::optional<Result<RoutingConfig>> parseRules(const RegisterChange &change) const override
    {
        if (change.key != "config" || !change.value) {
            return std::nullopt;
        }
        return RoutingConfig{.version = std::stoull(*change.value)};
    }

    std::optional<ZoneDrain> parseZoneDrain(const RegisterChange &change) const override
    {
        constexpr std::string_view prefix = "drain/";
        if (!change.key.starts_with(prefix)) {
            return std::nullopt;
        }
        return ZoneDrain{.zone = ZoneName(change.key.substr(prefix.size())), .isInForce = change.value.has_value()};
    }

    std::vector<RegisterChange> registerRecords{};
    bool isRegisterUnavailable = false;
    std::array<bool, CopyCount> isUnavailable{};
    bool losesAnswers = false; ///< writes are executed but reported as failed
    std::array<std::map<std::uint64_t, RegisterChange>, CopyCount> records{};
    std::array<StoredDrains, CopyCount> drains{};
    int reads = 0;
    int writes = 0;
    int drainsChanges = 0; ///< drained-zones records added or removed
};

} // namespace Heatherridge
