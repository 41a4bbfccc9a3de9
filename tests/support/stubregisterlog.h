#pragma once

#include "heatherridge_coordination/feed/registerlog.h"

namespace Heatherridge
{

/** RegisterLog whose calls never reply and whose changes cannot be parsed; a test overrides the calls that it needs. */
class StubRegisterLog : public RegisterLog
{
public:
    void readNewest(RegisterKind, Done) override
    {
    }

    void read(RegisterKind, std::uint64_t, std::chrono::milliseconds, Done) override
    {
    }

    void readCopy(int, std::function<void(Result<RulesCopy>)>) override
    {
    }

    void writeCopy(int, const RulesCopyUpdate &, std::function<void(Result<std::size_t>)>) override
    {
    }

    std::optional<Result<RoutingConfig>> parseRules(const RegisterChange &) const override
    {
        return std::nullopt;
    }

    std::optional<ZoneDrain> parseZoneDrain(const RegisterChange &) const override
    {
        return std::nullopt;
    }

    Result<TargetRecord> parseTarget(const RegisterChange &) const override
    {
        return Error{};
    }
};

} // namespace Heatherridge
