// Writes structured log lines (key=value), one for each decision, without ever blocking the process.
//
// Lines are kept in a bounded buffer until the reader of the output takes them. Lines that exceed the buffer
// or the rate limit of their event name are dropped and counted; those over the rate are also logged as a
// line of their own.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace quincewick::telemetry {

struct EventLogSettings {
  std::string node;
  size_t buffer_bytes = 65536;
  uint32_t max_lines_per_second = 50;                  // per event name
  std::function<absl::Time()> wall_clock = absl::Now;  // orders lines of several processes
};

class EventLog {
 public:
  // Writes to `descriptor`, which it makes non-blocking; -1 keeps all lines in the buffer.
  EventLog(EventLogSettings settings, int descriptor);

  // A line being built; it is added to the log when it goes out of scope.
  class Line {
   public:
    Line(EventLog* log, std::string text) : log_(log), text_(std::move(text)) {}
    Line(Line&& other) noexcept : log_(other.log_), text_(std::move(other.text_)) { other.log_ = nullptr; }
    Line(const Line&) = delete;
    Line& operator=(const Line&) = delete;
    Line& operator=(Line&&) = delete;
    ~Line();
    Line& with(std::string_view name, std::string_view value);
    Line& with(std::string_view name, int64_t value);
    Line& with(std::string_view name, absl::Duration value);  // in milliseconds

   private:
    EventLog* log_;
    std::string text_;
  };

  // `now`: time of the steady clock. A line over the rate limit accepts fields but isn't written.
  Line event(std::string_view name, absl::Time now);

  // Writes as much as possible without blocking.
  void flush();
  uint64_t droppedLines() const { return dropped_; }
  const std::string& buffered() const { return buffer_; }

 private:
  struct Rate {
    absl::Time second_start = absl::InfinitePast();
    uint32_t lines = 0;
    uint32_t dropped = 0;
  };
  void append(const std::string& line);

  EventLogSettings settings_;
  int descriptor_;
  std::string buffer_;
  uint64_t dropped_ = 0;
  absl::flat_hash_map<std::string, Rate> rates_;
};

}  // namespace quincewick::telemetry
