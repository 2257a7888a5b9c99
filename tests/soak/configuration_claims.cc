#include "configuration_claims.h"

#include <absl/strings/numbers.h>

#include <fstream>
#include <nlohmann/json.hpp>

#include "telemetry/event_lines.h"

namespace quincewick::soak {
namespace {

std::optional<int64_t> numberIn(const telemetry::EventLine& line, std::string_view name) {
  int64_t number = 0;
  return absl::SimpleAtoi(line.value(name), &number) ? std::optional(number) : std::nullopt;
}

// Durations are rounded to milliseconds.
constexpr absl::Duration kRounding = absl::Milliseconds(2);

}  // namespace

uint64_t configurationVersionIn(const std::string& value) {
  const auto json = nlohmann::json::parse(value, nullptr, false);
  return json.is_object() && json.contains("version") ? json["version"].get<uint64_t>() : 0;
}

void readConfigurationClaims(const std::string& log_file, absl::Time begin, History& history) {
  std::ifstream log(log_file);
  for (std::string text; std::getline(log, text);) {
    telemetry::EventLine line;
    if (telemetry::parseEventLine(text, line) != telemetry::LineKind::kEvent ||
        line.value("event") != "request") {
      continue;
    }
    const auto at = numberIn(line, "at_ms");
    const auto took = numberIn(line, "took_ms");
    const auto version = numberIn(line, "configuration");
    const auto age = numberIn(line, "configuration_age_ms");
    if (!at || !took || !version || !age || *version == 0) {
      continue;  // no configuration, or never confirmed
    }
    const absl::Time decided = absl::FromUnixMillis(*at);
    if (decided < begin) {
      continue;
    }
    history.configuration_claims.push_back(
        {line.value("node"), line.value("request"), static_cast<uint64_t>(*version),
         decided - absl::Milliseconds(*took) - absl::Milliseconds(*age) - kRounding, decided + kRounding});
  }
}

}  // namespace quincewick::soak
