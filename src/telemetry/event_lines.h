// Parses the lines that EventLog writes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace quincewick::telemetry {

// The fields of one line in their order.
struct EventLine {
  std::vector<std::pair<std::string, std::string>> fields;

  // The value of the field; empty if there is none.
  std::string value(std::string_view name) const;
};

enum class LineKind : uint8_t {
  kEvent,
  kOther,   // holds no event
  kBroken,  // starts an event but is malformed
};

// Parses one line. Text before "event=" is skipped, as other tools put a timestamp there.
LineKind parseEventLine(std::string_view text, EventLine& line);

// The lines of one request from several logs, ordered by wall clock.
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
