#include "forwarding/event_splitter.h"

#include <algorithm>

#include "types/http_message.h"

namespace quincewick::forwarding {
namespace {

// The position after the first event's empty line; npos if the event is incomplete.
size_t endOfEvent(std::string_view bytes) {
  size_t line_begin = 0;
  while (true) {
    const size_t line_end = bytes.find('\n', line_begin);
    if (line_end == std::string_view::npos) {
      return std::string_view::npos;
    }
    const std::string_view line = bytes.substr(line_begin, line_end - line_begin);
    if (line_begin > 0 && (line.empty() || line == "\r")) {
      return line_end + 1;
    }
    line_begin = line_end + 1;
  }
}

std::optional<uint64_t> idOf(std::string_view event) {
  constexpr std::string_view field = "id:";
  size_t begin = 0;
  while (begin < event.size()) {
    const size_t end = std::min(event.find('\n', begin), event.size());
    std::string_view line = event.substr(begin, end - begin);
    if (line.starts_with(field)) {
      line.remove_prefix(field.size());
      while (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
      }
      while (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
      }
      return parseUnsigned(line);
    }
    begin = end + 1;
  }
  return std::nullopt;
}

}  // namespace

std::vector<StreamEvent> EventSplitter::take(std::string_view bytes) {
  remainder_.append(bytes);
  std::vector<StreamEvent> events;
  size_t begin = 0;
  while (begin < remainder_.size()) {
    const size_t size = endOfEvent(std::string_view(remainder_).substr(begin));
    if (size == std::string_view::npos) {
      break;
    }
    const std::string event = remainder_.substr(begin, size);
    events.push_back({event, idOf(event)});
    begin += size;
  }
  remainder_.erase(0, begin);
  return events;
}

}  // namespace quincewick::forwarding
