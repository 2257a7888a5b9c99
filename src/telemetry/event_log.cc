#include "telemetry/event_log.h"

#include <absl/strings/str_cat.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace quincewick::telemetry {
namespace {

// Quotes a value with spaces, quotes, '=' or control characters, so that each line can be parsed.
std::string quoted(std::string_view value) {
  const bool plain = !value.empty() && std::none_of(value.begin(), value.end(), [](char character) {
    return character == ' ' || character == '"' || character == '=' ||
           static_cast<unsigned char>(character) < 0x20;
  });
  if (plain) {
    return std::string(value);
  }
  std::string out = "\"";
  for (const char character : value) {
    if (character == '"' || character == '\\') {
      out += '\\';
    }
    out += static_cast<unsigned char>(character) < 0x20 ? ' ' : character;
  }
  return out + "\"";
}

}  // namespace

EventLog::EventLog(EventLogSettings settings, int descriptor)
    : settings_(std::move(settings)), descriptor_(descriptor) {
  if (descriptor_ >= 0) {
    fcntl(descriptor_, F_SETFL, fcntl(descriptor_, F_GETFL) | O_NONBLOCK);
  }
}

EventLog::Line EventLog::event(std::string_view name, absl::Time now) {
  Rate& rate = rates_[std::string(name)];
  if (now - rate.second_start >= absl::Seconds(1)) {
    const uint32_t dropped = std::exchange(rate.dropped, 0);
    rate.second_start = now;
    rate.lines = 0;
    if (dropped > 0) {
      append(absl::StrCat("event=dropped node=", settings_.node, " of=", std::string(name),
                          " lines=", dropped, "\n"));
    }
  }
  if (rate.lines >= settings_.max_lines_per_second) {
    ++rate.dropped;
    ++dropped_;
    return {nullptr, std::string()};
  }
  ++rate.lines;
  const int64_t at = absl::ToInt64Milliseconds(now - absl::UnixEpoch());
  const int64_t wall = absl::ToUnixMillis(settings_.wall_clock());
  return {this, absl::StrCat("event=", std::string(name), " node=", settings_.node, " time_ms=", wall,
                             " at_ms=", at)};
}

EventLog::Line::~Line() {
  if (log_ != nullptr) {
    log_->append(text_ + "\n");
  }
}

EventLog::Line& EventLog::Line::with(std::string_view name, std::string_view value) {
  if (log_ != nullptr) {
    absl::StrAppend(&text_, " ", std::string(name), "=", quoted(value));
  }
  return *this;
}

EventLog::Line& EventLog::Line::with(std::string_view name, int64_t value) {
  if (log_ != nullptr) {
    absl::StrAppend(&text_, " ", std::string(name), "=", value);
  }
  return *this;
}

EventLog::Line& EventLog::Line::with(std::string_view name, absl::Duration value) {
  return with(name, absl::ToInt64Milliseconds(value));
}

void EventLog::append(const std::string& line) {
  if (buffer_.size() + line.size() > settings_.buffer_bytes) {
    ++dropped_;
    return;
  }
  buffer_ += line;
}

void EventLog::flush() {
  while (descriptor_ >= 0 && !buffer_.empty()) {
    const ssize_t written = write(descriptor_, buffer_.data(), buffer_.size());
    if (written <= 0) {
      return;
    }
    buffer_.erase(0, static_cast<size_t>(written));
  }
}

}  // namespace quincewick::telemetry
