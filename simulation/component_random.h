// Random generators of a simulation: one for each component, so that a change in one component's use of
// chance doesn't shift every other's.
#pragma once

#include <cstdint>
#include <random>
#include <string_view>

namespace quincewick::simulation {

using Random = std::mt19937_64;

// A generator for the component named `component` under the simulation's `seed`.
Random componentRandom(uint64_t seed, std::string_view component);

}  // namespace quincewick::simulation
