#include "loadgen/event_stream.h"

#include <utility>

namespace quincewick::loadgen {
namespace {

// The value after "NAME:", without the one space that may follow the colon.
std::string_view fieldValue(std::string_view line, size_t colon) {
  std::string_view value = line.substr(colon + 1);
  if (!value.empty() && value.front() == ' ') {
    value.remove_prefix(1);
  }
  return value;
}

}  // namespace

std::vector<ServerSentEvent> EventStreamParser::feed(std::string_view bytes) {
  std::vector<ServerSentEvent> events;
  while (!bytes.empty()) {
    const size_t end = bytes.find('\n');
    line_.append(bytes.substr(0, end));
    if (end == std::string_view::npos) {
      break;
    }
    bytes.remove_prefix(end + 1);
    takeLine(events);
    line_.clear();
  }
  return events;
}

void EventStreamParser::takeLine(std::vector<ServerSentEvent>& events) {
  if (!line_.empty() && line_.back() == '\r') {
    line_.pop_back();
  }
  if (line_.empty()) {
    if (has_fields_) {
      events.push_back(std::exchange(event_, {}));
      has_fields_ = false;
    }
    return;
  }
  const std::string_view line = line_;
  const size_t colon = line.find(':');
  if (colon == 0 || colon == std::string_view::npos) {
    return;  // a comment, or a field without a value
  }
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = fieldValue(line, colon);
  has_fields_ = true;
  if (name == "data") {
    event_.data.append(event_.data.empty() ? "" : "\n").append(value);
  } else if (name == "id") {
    event_.id = value;
  } else if (name == "event") {
    event_.event = value;
  }
}

}  // namespace quincewick::loadgen
