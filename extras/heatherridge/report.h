#pragma once

#include "exitcode.h"

#include <nlohmann/json.hpp>

#include <string>

namespace Heatherridge
{

/** The result of one run of the command, with the same content for people and for scripts. */
struct Report
{
    ExitCode code = ExitCode::Done;
    std::string text{}; ///< for people, whole lines
    nlohmann::json json = nlohmann::json::object(); ///< for scripts, printed with --json
};

} // namespace Heatherridge
