#include "emulator/object_store_model.h"

namespace quincewick::emulator {

PlatformResult ObjectStoreModel::put(const ObjectPut& put) {
  objects_.insert_or_assign(put.name, put.bytes);
  return ObjectStored{};
}

PlatformResult ObjectStoreModel::get(const ObjectGet& get) const {
  const auto found = objects_.find(get.name);
  if (found == objects_.end()) {
    return Error{ErrorCode::kNotFound, "no such object"};
  }
  return ObjectContent{found->second};
}

PlatformResult ObjectStoreModel::remove(const ObjectDelete& remove) {
  objects_.erase(remove.name);
  return ObjectStored{};
}

PlatformResult ObjectStoreModel::list(const ObjectList& list) const {
  ObjectNames names;
  for (auto object = objects_.lower_bound(list.prefix); object != objects_.end(); ++object) {
    if (object->first.compare(0, list.prefix.size(), list.prefix) != 0) {
      break;
    }
    names.names.push_back(object->first);
  }
  return names;
}

}  // namespace quincewick::emulator
