// The heap's use, for measuring what an object holds by the bytes that it gives back.
#pragma once

#include <cstdint>

namespace quincewick::simulation {

// Bytes that the allocator has handed out, with its own rounding. 0 under allocators without statistics.
uint64_t heapBytesInUse();

}  // namespace quincewick::simulation
