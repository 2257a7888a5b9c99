#include "telemetry/event_lines.h"

#include <algorithm>

namespace quincewick::telemetry {
namespace {

constexpr std::string_view kBegin = "event=";

// Reads a quoted value after its opening quote; false if there is no closing quote.
bool takeQuoted(std::string_view& rest, std::string& value) {
  while (!rest.empty()) {
    const char character = rest.front();
    rest.remove_prefix(1);
    if (character == '"') {
      return true;
    }
    if (character == '\\' && !rest.empty()) {
      value += rest.front();
      rest.remove_prefix(1);
      continue;
    }
    value += character;
  }
  return false;
}

bool takeField(std::string_view& rest, EventLine& line) {
  const size_t equals = rest.find('=');
  const size_t blank = rest.find(' ');
  if (equals == std::string_view::npos || equals == 0 || blank < equals) {
    return false;
  }
  std::string name(rest.substr(0, equals));
  rest.remove_prefix(equals + 1);
  std::string value;
  if (!rest.empty() && rest.front() == '"') {
    rest.remove_prefix(1);
    if (!takeQuoted(rest, value)) {
      return false;
    }
  } else {
    value = std::string(rest.substr(0, rest.find(' ')));
    rest.remove_prefix(value.size());
  }
  line.fields.emplace_back(std::move(name), std::move(value));
  return rest.empty() || rest.front() == ' ';
}

uint64_t timeOf(const EventLine& line) {
  const std::string text = line.value("time_ms");
  uint64_t time = 0;
  for (const char character : text) {
    time = character >= '0' && character <= '9' ? time * 10 + static_cast<uint64_t>(character - '0') : time;
  }
  return time;
}

}  // namespace

std::string EventLine::value(std::string_view name) const {
  const auto found =
      std::find_if(fields.begin(), fields.end(), [name](const auto& field) { return field.first == name; });
  return found == fields.end() ? "" : found->second;
}

LineKind parseEventLine(std::string_view text, EventLine& line) {
  const size_t begin = text.find(kBegin);
  if (begin == std::string_view::npos) {
    return LineKind::kOther;
  }
  std::string_view rest = text.substr(begin);
  while (!rest.empty() && (rest.back() == '\n' || rest.back() == '\r' || rest.back() == ' ')) {
    rest.remove_suffix(1);
  }
  while (!rest.empty()) {
    if (!takeField(rest, line)) {
      return LineKind::kBroken;
    }
    if (!rest.empty()) {
      rest.remove_prefix(1);
    }
  }
  return LineKind::kEvent;
}

void TraceCollector::take(std::string_view text) {
  EventLine line;
  switch (parseEventLine(text, line)) {
    case LineKind::kOther:
      return;
    case LineKind::kBroken:
      ++trace_.broken_lines;
      return;
    case LineKind::kEvent:
      break;
  }
  ++trace_.events_read;
  if (line.value("request") == request_) {
    trace_.lines.push_back(std::move(line));
  }
}

RequestTrace TraceCollector::finish() {
  std::stable_sort(
      trace_.lines.begin(), trace_.lines.end(),
      [](const EventLine& left, const EventLine& right) { return timeOf(left) < timeOf(right); });
  return std::move(trace_);
}

}  // namespace quincewick::telemetry
