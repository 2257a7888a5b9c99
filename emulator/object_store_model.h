// The platform's object store, in memory.
#pragma once

#include <absl/container/btree_map.h>

#include <string>

#include "types/platform.h"

namespace quincewick::emulator {

// Named byte strings; a write replaces the whole object. Not thread-safe.
class ObjectStoreModel {
 public:
  PlatformResult put(const ObjectPut& put);
  // ObjectContent, or kNotFound.
  PlatformResult get(const ObjectGet& get) const;
  // ObjectStored, also when there was no such object.
  PlatformResult remove(const ObjectDelete& remove);
  // ObjectNames in order.
  PlatformResult list(const ObjectList& list) const;

 private:
  absl::btree_map<std::string, std::string> objects_;
};

}  // namespace quincewick::emulator
