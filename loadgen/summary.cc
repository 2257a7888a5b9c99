#include "loadgen/summary.h"

#include <absl/container/btree_map.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace quincewick::loadgen {
namespace {

using Json = nlohmann::json;

// The value at the nearest rank of `percentile` (0 to 100); `sorted` is not empty.
double nearestRank(const std::vector<double>& sorted, double percentile) {
  constexpr double hundred = 100.0;
  const double rank = std::ceil(percentile / hundred * static_cast<double>(sorted.size()));
  const auto index = static_cast<size_t>(std::max(rank, 1.0)) - 1;
  return sorted[std::min(index, sorted.size() - 1)];
}

Json percentiles(std::vector<double> values) {
  Json json = {{"count", values.size()}};
  if (values.empty()) {
    return json;
  }
  std::sort(values.begin(), values.end());
  constexpr std::array<std::pair<const char*, double>, 4> wanted = {
      {{"p50", 50.0}, {"p90", 90.0}, {"p95", 95.0}, {"p99", 99.0}}};
  for (const auto& [name, percentile] : wanted) {
    json[name] = nearestRank(values, percentile);
  }
  json["max"] = values.back();
  return json;
}

double secondsSinceIntended(const RequestOutcome& outcome, absl::Duration time) {
  return absl::ToDoubleSeconds(time - outcome.arrival.time);
}

uint64_t wastedTokens(const RequestOutcome& outcome) {
  const uint64_t cached = outcome.usage.cached_tokens;
  return outcome.reusable_tokens > cached ? outcome.reusable_tokens - cached : 0;
}

// Sums over a set of outcomes; the same for the whole run, a kind and a second of the timeline.
struct Sums {
  uint64_t requests = 0;
  absl::btree_map<std::string, uint64_t> outcomes;
  absl::btree_map<std::string, uint64_t> errors;  // type/ran
  std::vector<double> first_token;
  std::vector<double> duration;
  std::vector<double> between_tokens;  // mean of each answer
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;
  uint64_t wasted_tokens = 0;
  uint64_t output_tokens = 0;

  void add(const RequestOutcome& outcome) {
    ++requests;
    ++outcomes[std::string(outcomeClassName(outcome.outcome))];
    output_tokens += outcome.tokens;
    if (!outcome.error_type.empty()) {
      ++errors[absl::StrCat(outcome.error_type, "/ran=", std::string(executionName(outcome.execution)))];
    }
    if (outcome.first_token) {
      first_token.push_back(secondsSinceIntended(outcome, *outcome.first_token));
    }
    if (outcome.outcome == OutcomeClass::kComplete) {
      addComplete(outcome);
    }
  }

  Json json() const {
    Json json = {{"requests", requests},
                 {"outcomes", outcomes},
                 {"errors", errors},
                 {"time_to_first_token_seconds", percentiles(first_token)},
                 {"duration_seconds", percentiles(duration)},
                 {"between_tokens_seconds", percentiles(between_tokens)},
                 {"prompt_tokens", prompt_tokens},
                 {"cached_tokens", cached_tokens},
                 {"wasted_tokens", wasted_tokens},
                 {"output_tokens", output_tokens}};
    if (prompt_tokens > 0) {
      json["prefix_hit_rate"] = static_cast<double>(cached_tokens) / static_cast<double>(prompt_tokens);
      json["waste_share"] = static_cast<double>(wasted_tokens) / static_cast<double>(prompt_tokens);
    }
    return json;
  }

 private:
  void addComplete(const RequestOutcome& outcome) {
    duration.push_back(secondsSinceIntended(outcome, outcome.ended));
    prompt_tokens += outcome.usage.prompt_tokens;
    cached_tokens += outcome.usage.cached_tokens;
    if (outcome.usage.prompt_tokens > 0) {
      wasted_tokens += wastedTokens(outcome);
    }
    if (outcome.tokens > 1) {
      const double span = absl::ToDoubleSeconds(outcome.ended - *outcome.first_token);
      between_tokens.push_back(span / static_cast<double>(outcome.tokens - 1));
    }
  }
};

// One entry for each second of the run, by intended send time.
Json timeline(const Workload& workload, const std::vector<RequestOutcome>& outcomes) {
  struct Second {
    Sums all;
    absl::btree_map<std::string, Sums> kinds;
  };
  absl::btree_map<int64_t, Second> seconds;
  for (const RequestOutcome& outcome : outcomes) {
    Second& second = seconds[absl::ToInt64Seconds(outcome.arrival.time)];
    second.all.add(outcome);
    second.kinds[workload.kinds[outcome.arrival.kind].name.value()].add(outcome);
  }
  Json list = Json::array();
  for (const auto& [time, second] : seconds) {
    Json entry = second.all.json();
    entry["second"] = time;
    for (const auto& [kind, sums] : second.kinds) {
      entry["kinds"][kind] = percentiles(sums.first_token);
    }
    list.push_back(std::move(entry));
  }
  return list;
}

Json violations(const RunRecord& record) {
  Json json;
  for (const Violation violation : kAllViolations) {
    json[std::string(violationName(violation))] = 0;
  }
  for (const RequestOutcome& outcome : record.outcomes) {
    if (outcome.violation) {
      Json& count = json[std::string(violationName(*outcome.violation))];
      count = count.get<uint64_t>() + 1;
    }
  }
  return json;
}

// The first requests with a violation, so that they can be found in the routers' logs.
Json violationExamples(const RunRecord& record) {
  constexpr size_t most = 20;
  Json list = Json::array();
  for (const RequestOutcome& outcome : record.outcomes) {
    if (outcome.violation && list.size() < most) {
      list.push_back({{"violation", violationName(*outcome.violation)},
                      {"request_id", outcome.request_id},
                      {"arrival", outcome.arrival.number},
                      {"idempotency_key", outcome.arrival.idempotency_key}});
    }
  }
  return list;
}

Json lateSends(const RunRecord& record) {
  std::vector<double> late;
  late.reserve(record.outcomes.size());
  for (const RequestOutcome& outcome : record.outcomes) {
    late.push_back(secondsSinceIntended(outcome, outcome.sent));
  }
  return percentiles(std::move(late));
}

}  // namespace

Json summarise(const Workload& workload, const DriverOptions& options, const RunDescription& description,
               const RunRecord& record) {
  Sums all;
  absl::btree_map<std::string, Sums> kinds;
  for (const RequestOutcome& outcome : record.outcomes) {
    all.add(outcome);
    kinds[workload.kinds[outcome.arrival.kind].name.value()].add(outcome);
  }
  Json result = all.json();
  result["run"] = {{"workload", workload.name},
                   {"file", description.workload_file},
                   {"seed", options.seed},
                   {"rate", options.rate},
                   {"seconds", absl::ToDoubleSeconds(options.length)},
                   {"targets", options.targets.size()},
                   {"marks", description.marks}};
  for (const auto& [kind, sums] : kinds) {
    result["kinds"][kind] = sums.json();
  }
  result["violations"] = violations(record);
  result["violation_examples"] = violationExamples(record);
  result["action_runs_checked"] = record.has_action_audit;
  result["late_send_seconds"] = lateSends(record);
  result["timeline"] = timeline(workload, record.outcomes);
  return result;
}

std::string compareWithBaseline(const Json& result, const Json& baseline) {
  std::vector<std::string> pointers = {"/prefix_hit_rate", "/waste_share"};
  std::vector<std::string> parents = {""};
  if (result.contains("kinds")) {
    for (const auto& [kind, figures] : result["kinds"].items()) {
      parents.push_back("/kinds/" + kind);
    }
  }
  for (const std::string& parent : parents) {
    for (const char* percentile : {"p50", "p95", "p99"}) {
      pointers.push_back(absl::StrCat(parent, "/time_to_first_token_seconds/", percentile));
    }
  }
  std::string lines;
  for (const std::string& text : pointers) {
    const Json::json_pointer pointer(text);
    if (!result.contains(pointer) || !baseline.contains(pointer) || !baseline[pointer].is_number()) {
      continue;
    }
    const double now = result[pointer].get<double>();
    const double before = baseline[pointer].get<double>();
    const std::string ratio = before > 0.0 ? absl::StrFormat("%.3f", now / before) : "-";
    absl::StrAppendFormat(&lines, "%-60s %12.6f / %12.6f = %s\n", text.substr(1), now, before, ratio);
  }
  return lines;
}

uint64_t violationCount(const Json& result) {
  uint64_t count = 0;
  for (const auto& [name, value] : result["violations"].items()) {
    count += value.get<uint64_t>();
  }
  return count;
}

}  // namespace quincewick::loadgen
