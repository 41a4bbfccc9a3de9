#pragma once

#include "model/loadpatterns.h"

#include <string>
#include <vector>

namespace Heatherridge::PolicyModel
{

/** One row of a table: a scenario that is run once per seed. */
struct Measurement
{
    std::string name{};
    ScenarioOptions options{};
};

/** Runs each measurement with seeds 1 to @p seeds concurrently and prints one row each, with mean and range. */
void printTable(const std::string &title, const std::vector<Measurement> &measurements, int seeds);

} // namespace Heatherridge::PolicyModel
