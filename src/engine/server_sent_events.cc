#include "engine/server_sent_events.h"

#include <utility>

namespace quincewick::engine {

void ServerSentEventReader::feed(std::string_view bytes) {
  compact();
  buffer_.append(bytes);
}

void ServerSentEventReader::compact() {
  buffer_.erase(0, position_);
  position_ = 0;
}

std::optional<ServerSentEvent> ServerSentEventReader::next() {
  while (!failed_) {
    const size_t line_end = buffer_.find('\n', position_);
    if (line_end == std::string::npos) {
      failed_ = buffer_.size() - position_ > maximum_event_bytes_;
      return std::nullopt;
    }
    std::string_view line(buffer_.data() + position_, line_end - position_);
    position_ = line_end + 1;
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    if (!line.empty()) {
      takeLine(line);
    } else if (event_has_fields_) {
      event_has_fields_ = false;
      return std::exchange(event_, ServerSentEvent());
    }
  }
  return std::nullopt;
}

void ServerSentEventReader::takeLine(std::string_view line) {
  const size_t colon = line.find(':');
  const std::string_view field = line.substr(0, colon);
  std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
  if (!value.empty() && value.front() == ' ') {
    value.remove_prefix(1);
  }
  if (field == "id") {
    event_.id = value;
  } else if (field == "event") {
    event_.name = value;
  } else if (field == "data") {
    if (!event_.data.empty()) {
      event_.data += '\n';
    }
    event_.data += value;
  } else {
    return;
  }
  event_has_fields_ = true;
  failed_ = event_.data.size() > maximum_event_bytes_;
}

}  // namespace quincewick::engine
