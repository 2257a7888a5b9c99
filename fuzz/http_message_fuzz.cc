// Any bytes, in whatever pieces, give the same messages and the same end, and a reader never holds more than
// its limit beside the body.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "reactor/message_reader.h"

namespace {

using namespace quincewick;           // NOLINT(google-build-using-namespace)
using namespace quincewick::reactor;  // NOLINT(google-build-using-namespace)

constexpr size_t kMostMessages = 100;

// What was read of the bytes of one connection.
struct Reading {
  std::vector<HttpHead> heads;
  std::vector<std::string> bodies;
};

bool isSameHead(const HttpHead& left, const HttpHead& right) {
  const auto is_same_field = [](const HeaderField& one, const HeaderField& other) {
    return one.name == other.name && one.value == other.value;
  };
  return left.method == right.method && left.target == right.target && left.status == right.status &&
         std::equal(left.fields.begin(), left.fields.end(), right.fields.begin(), right.fields.end(),
                    is_same_field);
}

// `step`: the size of the pieces, which grows by one after each.
Reading readInPieces(std::string_view bytes, MessageKind kind, const MessageLimits& limits, size_t step) {
  Reading reading;
  MessageReader reader(kind, limits);
  std::string body;
  while (!bytes.empty()) {
    const std::string_view piece = bytes.substr(0, step++);
    bytes.remove_prefix(piece.size());
    reader.take(piece);
    body += reader.takeBody();
    while (reader.status() == ReadStatus::kDone && reading.heads.size() < kMostMessages) {
      reading.heads.push_back(reader.head());
      reading.bodies.push_back(std::exchange(body, std::string()));
      reader.next();
      reader.take({});
      body += reader.takeBody();
    }
    if (reader.status() == ReadStatus::kNeedsMore && reader.unreadBytes() > limits.header_bytes) {
      std::abort();
    }
    if (reader.status() != ReadStatus::kNeedsMore) {
      break;
    }
  }
  return reading;
}

}  // namespace

// The first byte chooses the kind of message and the limits, the second the sizes of the pieces.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {  // NOLINT
  if (size < 2) {
    return 0;
  }
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 2, size - 2);
  const MessageKind kind = data[0] % 2 == 0 ? MessageKind::kRequest : MessageKind::kResponse;
  const MessageLimits limits{data[0] / 2 % 2 == 0 ? 64U : 500U, 2000};
  const Reading whole = readInPieces(bytes, kind, limits, size);
  const Reading split = readInPieces(bytes, kind, limits, 1 + data[1]);
  const bool is_same =
      whole.bodies == split.bodies &&
      std::equal(whole.heads.begin(), whole.heads.end(), split.heads.begin(), split.heads.end(), isSameHead);
  if (!is_same) {
    std::abort();
  }
  return 0;
}
