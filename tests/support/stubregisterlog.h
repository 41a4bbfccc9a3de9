#pragma once

#include "heatherridge_coordination/feed/registerlog.h"

namespace Heatherridge
{

/** Registers that answer nothing and hold nothing that can be read; a test overrides what its registers do. */
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

    void writeCopy(int, const RegisterChange &, std::uint64_t, const std::map<std::uint64_t, std::size_t> &,
                   std::function<void(Result<std::size_t>)>) override
    {
    }

    std::optional<Result<RoutingConfig>> parseRules(const RegisterChange &) const override
    {
        return std::nullopt;
    }

    Result<TargetRecord> parseTarget(const RegisterChange &) const override
    {
        return Error{};
    }
};

} // namespace Heatherridge
