// Cuts a stream's bytes into whole events, each with its id; payloads are opaque.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quincewick::forwarding {

struct StreamEvent {
  std::string bytes;           // as they came, with the empty line that ends the event
  std::optional<uint64_t> id;  // of its id line, where that is a whole number
};

class EventSplitter {
 public:
  // Returns the events that `bytes` completes.
  std::vector<StreamEvent> take(std::string_view bytes);
  // What came after the last whole event.
  const std::string& rest() const { return rest_; }

 private:
  std::string rest_;
};

}  // namespace quincewick::forwarding
