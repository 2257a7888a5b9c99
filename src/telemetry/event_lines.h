// Reads back what EventLog writes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace quincewick::telemetry {

// One line's fields in their order.
struct EventLine {
  std::vector<std::pair<std::string, std::string>> fields;

  // The field's value; empty: there is none.
  std::string value(std::string_view name) const;
};

enum class LineKind : uint8_t {
  kEvent,
  kOther,   // holds no event
  kBroken,  // begins an event that can't be read
};

// Reads one line. What stands before its "event=" is passed over, as other tools put a time there.
LineKind parseEventLine(std::string_view text, EventLine& line);

// The lines of one request over several logs, in the order of their wall clocks.
struct RequestTrace {
  std::vector<EventLine> lines;
  uint64_t events_read = 0;
  uint64_t broken_lines = 0;
};

class TraceCollector {
 public:
  explicit TraceCollector(std::string request) : request_(std::move(request)) {}

  void take(std::string_view text);
  RequestTrace finish();

 private:
  std::string request_;
  RequestTrace trace_;
};

}  // namespace quincewick::telemetry
