// Splits the bytes of an event stream into complete events with their ids; payloads are opaque.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quincewick::forwarding {

struct StreamEvent {
  std::string bytes;           // unchanged, with the empty line that ends the event
  std::optional<uint64_t> id;  // from its id line, if that is an integer
};

class EventSplitter {
 public:
  // Returns the events that `bytes` completes.
  std::vector<StreamEvent> take(std::string_view bytes);
  // The bytes after the last complete event.
  const std::string& remainder() const { return remainder_; }

 private:
  std::string remainder_;
};

}  // namespace quincewick::forwarding
