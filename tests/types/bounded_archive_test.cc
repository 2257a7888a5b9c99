// Guards against messages of peers whose bytes give a value that its type doesn't have.
#include "types/bounded_archive.h"

#include <catch2/catch.hpp>
#include <string>

namespace quincewick {
namespace {

struct Flagged {
  bool is_set = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(is_set);
  }
};

// UndefinedBehaviorSanitizer found a flag of a rollout's message that held 194.
TEST_CASE("a truth value in a message is 0 or 1, or the message is refused") {
  const std::string sound = encodeArchive(Flagged{true});
  for (int byte = 0; byte < 256; ++byte) {
    std::string bytes = sound;
    bytes.back() = static_cast<char>(byte);
    const Result<Flagged> read = decodeArchive<Flagged>(bytes);
    CHECK(read.has_value() == (byte <= 1));
    CHECK((read.has_error() || read.value().is_set == (byte == 1)));
  }
}

}  // namespace
}  // namespace quincewick
