// Reads server-sent events from bytes as they come. (The HTTP library has no reader for them.)
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace quincewick::engine {

// One event: the values of its id, event and data fields. Several data lines are joined by newlines.
struct ServerSentEvent {
  std::string id;
  std::string name;
  std::string data;
};

// Turns bytes into events. Not thread-safe. Comments and unknown fields are skipped.
class ServerSentEventReader {
 public:
  // Bytes that may be held for one unfinished event. More sets failed().
  explicit ServerSentEventReader(size_t maximum_event_bytes) : maximum_event_bytes_(maximum_event_bytes) {}

  void feed(std::string_view bytes);

  // The next whole event, if there is one.
  std::optional<ServerSentEvent> next();

  // The peer sent an event that is too long: nothing more can be read.
  bool failed() const { return failed_; }

 private:
  void takeLine(std::string_view line);
  void compact();

  size_t maximum_event_bytes_;
  std::string buffer_;
  size_t position_ = 0;  // of the first byte not yet read
  ServerSentEvent event_;
  bool event_has_fields_ = false;
  bool failed_ = false;
};

}  // namespace quincewick::engine
