#pragma once

#include "exitcode.h"

#include <nlohmann/json.hpp>

#include <string>

namespace Heatherridge
{

/** What one run of the command has to say: the same for people and for scripts. */
struct Report
{
    ExitCode code = ExitCode::Done;
    std::string text{}; ///< for people, whole lines
    nlohmann::json json = nlohmann::json::object(); ///< for scripts, printed with --json
};

} // namespace Heatherridge
