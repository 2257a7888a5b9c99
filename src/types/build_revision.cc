#include "types/build_revision.h"

namespace quincewick {

std::string_view buildRevision() {
  return QUINCEWICK_REVISION;
}

}  // namespace quincewick
