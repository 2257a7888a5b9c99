#include "simulation/heap_usage.h"

#include <malloc.h>

namespace quincewick::simulation {

uint64_t heapBytesInUse() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

}  // namespace quincewick::simulation
