#include "forwarding/event_splitter.h"

#include <algorithm>

#include "types/http_message.h"

namespace quincewick::forwarding {
namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
constexpr std::string_view kIdField = "id:";

struct Line {
  std::string_view text;                   // without its end
  size_t next = 0;                         // position of the next line
  bool ends_with_carriage_return = false;  // alone
};

// The line that begins at `begin`; nothing if its end isn't there. A carriage return as the last byte is the
// line's end only where lines are known to end with carriage returns: otherwise it may be half of a CRLF.
std::optional<Line> lineAt(std::string_view bytes, size_t begin, bool carriage_returns_end_lines) {
  const size_t end = bytes.find_first_of("\r\n", begin);
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view text = bytes.substr(begin, end - begin);
  if (bytes[end] == '\n') {
    return Line{text, end + 1, false};
  }
  const bool is_last_byte = end + 1 == bytes.size();
  if (is_last_byte && !carriage_returns_end_lines) {
    return std::nullopt;
  }
  const bool has_line_feed = !is_last_byte && bytes[end + 1] == '\n';
  return Line{text, end + (has_line_feed ? 2 : 1), !has_line_feed};
}

// Calls `visit` with each complete line until it returns false. Returns the position after the last visited
// line.
template <class Visit>
size_t forEachLine(std::string_view bytes, const Visit& visit) {
  size_t begin = 0;
  bool carriage_returns_end_lines = false;
  while (const auto line = lineAt(bytes, begin, carriage_returns_end_lines)) {
    carriage_returns_end_lines = line->ends_with_carriage_return;
    begin = line->next;
    if (!visit(line->text)) {
      break;
    }
  }
  return begin;
}

bool isComment(std::string_view line) {
  return line.starts_with(':');
}

// The position after the first event's empty line; npos if the event is incomplete.
size_t endOfEvent(std::string_view bytes) {
  bool is_first = true;
  bool is_complete = false;
  const size_t end = forEachLine(bytes, [&](std::string_view line) {
    is_complete = line.empty() && !is_first;
    is_first = false;
    return !is_complete;
  });
  return is_complete ? end : std::string_view::npos;
}

std::optional<uint64_t> idIn(std::string_view line) {
  line.remove_prefix(kIdField.size());
  line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
  return parseUnsigned(line);
}

StreamEvent parseEvent(std::string_view bytes) {
  StreamEvent event{std::string(bytes), std::nullopt, false};
  if (bytes.starts_with(kByteOrderMark)) {
    bytes.remove_prefix(kByteOrderMark.size());
  }
  forEachLine(bytes, [&event](std::string_view line) {
    event.has_fields = event.has_fields || !(line.empty() || isComment(line));
    if (!line.starts_with(kIdField)) {
      return true;
    }
    event.id = idIn(line);
    return false;
  });
  return event;
}

}  // namespace

std::vector<StreamEvent> EventSplitter::take(std::string_view bytes) {
  remainder_.append(bytes);
  if (is_at_start_ && !handleByteOrderMark()) {
    return {};
  }
  std::vector<StreamEvent> events;
  size_t begin = 0;
  while (begin < remainder_.size()) {
    const std::string_view rest = std::string_view(remainder_).substr(begin);
    const size_t size = endOfEvent(rest);
    if (size == std::string_view::npos) {
      break;
    }
    events.push_back(parseEvent(rest.substr(0, size)));
    had_event_ = had_event_ || events.back().has_fields;
    begin += size;
  }
  remainder_.erase(0, begin);
  return events;
}

bool EventSplitter::handleByteOrderMark() {
  const bool may_become_mark =
      remainder_.size() < kByteOrderMark.size() && kByteOrderMark.starts_with(remainder_);
  if (may_become_mark) {
    return false;
  }
  is_at_start_ = false;
  if (continues_stream_ && remainder_.starts_with(kByteOrderMark)) {
    remainder_.erase(0, kByteOrderMark.size());
  }
  return true;
}

bool EventSplitter::isInsideEvent() const {
  std::string_view rest = remainder_;
  if (rest.starts_with(kByteOrderMark)) {
    rest.remove_prefix(kByteOrderMark.size());
  }
  bool is_empty = true;
  const size_t end = forEachLine(rest, [&is_empty](std::string_view line) {
    is_empty = line.empty();
    return is_empty;
  });
  return !is_empty || end < rest.size();
}

}  // namespace quincewick::forwarding
