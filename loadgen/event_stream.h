// Cuts a byte stream of server-sent events into events.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace quincewick::loadgen {

// One event; a field that did not come is empty.
struct ServerSentEvent {
  std::string event;
  std::string id;
  std::string data;
};

// Takes bytes as they arrive and gives whole events. Not thread-safe.
class EventStreamParser {
 public:
  // Returns the events that `bytes` complete.
  std::vector<ServerSentEvent> feed(std::string_view bytes);

  // True while part of an event has come.
  bool hasPartialEvent() const { return !line_.empty() || has_fields_; }

 private:
  void takeLine(std::vector<ServerSentEvent>& events);

  std::string line_;
  ServerSentEvent event_;
  bool has_fields_ = false;
};

}  // namespace quincewick::loadgen
