#pragma once

#include "model/loadpatterns.h"

#include <string>
#include <vector>

namespace Heatherridge::PolicyModel
{

/** One line of a table: a scenario, run once a seed. */
struct Measurement
{
    std::string name{};
    ScenarioOptions options{};
};

/** Runs @p measurements with seeds 1 to @p seeds, several at a time, and prints one line each: mean and spread. */
void printTable(const std::string &title, const std::vector<Measurement> &measurements, int seeds);

} // namespace Heatherridge::PolicyModel
