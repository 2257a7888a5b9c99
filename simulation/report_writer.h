// Writes a simulation's report as JSON or as a table for people.
#pragma once

#include <string>

#include "simulation/simulation.h"

namespace quincewick::simulation {

// The part of the report that is the same to the byte in each run with the same options, as JSON.
std::string writeRepeatableJson(const SimulationOptions& options, const SimulationReport& report);

// The whole report as JSON. What depends on the machine comes last, after all that is repeatable.
std::string writeJson(const SimulationOptions& options, const SimulationReport& report);

// The main figures, one a line.
std::string writeTable(const SimulationOptions& options, const SimulationReport& report);

}  // namespace quincewick::simulation
