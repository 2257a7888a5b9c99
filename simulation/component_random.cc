#include "simulation/component_random.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace quincewick::simulation {

Random componentRandom(uint64_t seed, std::string_view component) {
  return Random(XXH3_64bits_withSeed(component.data(), component.size(), seed));
}

}  // namespace quincewick::simulation
