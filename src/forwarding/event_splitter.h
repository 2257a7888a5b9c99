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
  bool has_fields = false;     // false: nothing but comments
};

// Lines end with LF, CRLF or CR, as in the HTML standard's event streams.
class EventSplitter {
 public:
  EventSplitter() = default;
  // `continues_stream`: the bytes go on where an earlier response broke off, so that a byte-order mark at
  // their beginning is dropped.
  explicit EventSplitter(bool continues_stream) : continues_stream_(continues_stream) {}

  // Returns the events that `bytes` completes.
  std::vector<StreamEvent> take(std::string_view bytes);
  // The bytes after the last complete event.
  const std::string& remainder() const { return remainder_; }
  // Whether the remainder is a part of an event: a stream that ends there was broken off. Empty lines between
  // events are no part of one.
  bool isInsideEvent() const;
  // Whether any event was complete; comments alone don't count.
  bool hadEvent() const { return had_event_; }

 private:
  // False while the bytes so far may become a byte-order mark.
  bool handleByteOrderMark();

  bool continues_stream_ = false;
  bool is_at_start_ = true;
  bool had_event_ = false;
  std::string remainder_;
};

}  // namespace quincewick::forwarding
