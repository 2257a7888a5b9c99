// Compares the placement policies on one trace in one run, on virtual time. Prints a table, and JSON on
// request.
#include <absl/strings/str_format.h>

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <limits>
#include <nlohmann/json.hpp>

#include "ablation/simulation.h"

namespace quincewick::ablation {
namespace {

constexpr uint64_t kTraceSeed = 20261202;
constexpr double kOverload = 3.0;
constexpr double kCalibrationRate = 8.0;  // requests a second and engine; only a start

routing::RouterSettings siteSettings() {
  routing::RouterSettings settings;
  settings.directory.cost.prefill_per_token = absl::Microseconds(30);
  return settings;
}

Contender ours() {
  return Contender{"ours", siteSettings()};
}

Contender baseline(std::string name, routing::PolicyKind kind, uint32_t hash_blocks = 1) {
  Contender contender{std::move(name), siteSettings()};
  contender.router.policy = kind;
  contender.router.pure_hash_blocks = hash_blocks;
  return contender;
}

Contender oracle() {
  Contender contender = ours();
  contender.name = "oracle";
  contender.oracle = true;
  return contender;
}

template <class Change>
Contender variant(std::string name, Change change) {
  Contender contender = ours();
  contender.name = std::move(name);
  change(contender.router);
  return contender;
}

// Baselines first: the table's ratios refer to the first two.
std::vector<Contender> contenders() {
  using routing::PolicyKind;
  using routing::RouterSettings;
  std::vector<Contender> all = {baseline("round robin", PolicyKind::kRoundRobin),
                                baseline("least loaded", PolicyKind::kLeastLoaded),
                                baseline("pure hash, 1 block", PolicyKind::kPureHash, 1),
                                baseline("pure hash, 8 blocks", PolicyKind::kPureHash, 8),
                                baseline("pure hash, 16 blocks", PolicyKind::kPureHash, 16),
                                ours()};
  all.push_back(variant("ours + import", [](RouterSettings& settings) { settings.affinity.import = true; }));
  all.push_back(oracle());
  return all;
}

// Ours with one mechanism less or another constant.
std::vector<Contender> ablations() {
  using routing::RouterSettings;
  std::vector<Contender> all;
  all.push_back(variant("no cache events", [](RouterSettings&) {}));
  all.back().cache_events = false;
  all.push_back(variant("no load reports", [](RouterSettings&) {}));
  all.back().load_reports = false;
  all.push_back(variant("no own in-flight work", [](RouterSettings&) {}));
  all.back().in_flight = false;
  all.push_back(variant("no index, hash only", [](RouterSettings& settings) {
    settings.index.maximum_blocks = 1;
    settings.affinity.random_candidates = 0;
  }));
  all.push_back(variant("no random candidates",
                        [](RouterSettings& settings) { settings.affinity.random_candidates = 0; }));
  all.push_back(variant("trunk: first block", [](RouterSettings& settings) {
    settings.affinity.engine_share = std::numeric_limits<double>::infinity();
  }));
  all.push_back(
      variant("doubtful is void", [](RouterSettings& settings) { settings.affinity.doubtful_weight = 0; }));
  for (const double weight : {1.0, 2.0, 4.0, 16.0}) {
    all.push_back(
        variant(absl::StrFormat("recompute weight %.0f", weight),
                [weight](RouterSettings& settings) { settings.affinity.recompute_weight.fill(weight); }));
  }
  return all;
}

// Requests a second that finish at most: offered far too many of equal priority, with the oracle's placement.
double capacityOf(const Mix& mix, const SimulationSettings& settings) {
  SimulationSettings overload = settings;
  overload.equal_priorities = true;
  const double offered = kOverload * kCalibrationRate * mix.engines;
  const absl::Duration length = absl::Seconds(120);
  const auto trace = makeTrace(mix, offered, length, kTraceSeed);
  const Report report = simulate(mix, trace, oracle(), overload);
  return static_cast<double>(report.finished) / absl::ToDoubleSeconds(length - settings.warm_up);
}

void printRow(const Report& report, const Report& least_loaded, const Report& round_robin) {
  const Percentiles& urgent = report.urgent_first_token_seconds;
  const auto against = [](double value, double base) { return base > 0 ? value / base : 0.0; };
  std::cout << absl::StrFormat(
      "%-22s %8.3f %8.3f %8.3f  x%-6.2f %6.1f%% %9.2f  x%-6.2f %6d %6d %6d  %.2f\n", report.contender,
      urgent.p50, urgent.p95, urgent.p99, against(urgent.p99, least_loaded.urgent_first_token_seconds.p99),
      100 * report.hit_rate, static_cast<double>(report.recomputed_tokens) / 1e6,
      against(static_cast<double>(report.recomputed_tokens),
              static_cast<double>(round_robin.recomputed_tokens)),
      report.refused, report.unanswered, report.imported_blocks, report.most_over_mean_load);
  for (const KindReport& kind : report.kinds) {
    std::cout << absl::StrFormat("    %-18s %8.3f %8.3f %8.3f  (%d)\n", kind.kind,
                                 kind.first_token_seconds.p50, kind.first_token_seconds.p95,
                                 kind.first_token_seconds.p99, kind.first_token_seconds.count);
  }
}

nlohmann::json toJson(const Percentiles& percentiles) {
  return {{"p50", percentiles.p50},
          {"p95", percentiles.p95},
          {"p99", percentiles.p99},
          {"count", percentiles.count}};
}

nlohmann::json toJson(const Report& report) {
  nlohmann::json kinds;
  for (const KindReport& kind : report.kinds) {
    kinds[kind.kind] = toJson(kind.first_token_seconds);
  }
  return {{"policy", report.contender},
          {"urgent_first_token_seconds", toJson(report.urgent_first_token_seconds)},
          {"kinds", kinds},
          {"hit_rate", report.hit_rate},
          {"recomputed_tokens", report.recomputed_tokens},
          {"refused", report.refused},
          {"unanswered", report.unanswered},
          {"imported_blocks", report.imported_blocks}};
}

struct Options {
  double load = 0.7;
  int64_t seconds = 360;
  uint64_t seed = kTraceSeed;
  uint32_t cache_blocks = 512;  // of each engine
  bool ablate = false;          // also compare ours with one mechanism less
  double event_loss = 0.01;     // share of cache events that are never read
};

nlohmann::json compare(const Mix& mix, const Options& options, const std::string& only) {
  SimulationSettings settings;
  settings.engine.cache_event_loss = options.event_loss;
  settings.engine.cache_capacity_blocks = options.cache_blocks;
  const double capacity = capacityOf(mix, settings);
  const double rate = options.load * capacity;
  const auto trace = makeTrace(mix, rate, absl::Seconds(options.seconds), options.seed);
  std::cout << absl::StrFormat(
      "\n%s: %d engines, %d nodes, capacity %.1f requests/s, offered %.1f, %d requests\n", mix.name,
      mix.engines, mix.nodes, capacity, rate, trace.size());
  std::cout
      << "policy                 urgent first token, s            hit   recomputed      refused      moved\n"
         "                            p50      p95      p99  to LL    rate   M tokens  to RR        unans.  "
         "blocks max/mean\n";
  std::vector<Report> reports;
  nlohmann::json result = {{"mix", mix.name}, {"load", options.load}, {"capacity", capacity}};
  std::vector<Contender> compared = contenders();
  if (options.ablate) {
    for (Contender& contender : ablations()) {
      compared.push_back(std::move(contender));
    }
  }
  for (const Contender& contender : compared) {
    const bool base = reports.size() < 2;
    if (!base && !only.empty() && contender.name.find(only) == std::string::npos) {
      continue;
    }
    reports.push_back(simulate(mix, trace, contender, settings));
    if (reports.size() >= 2) {
      if (reports.size() == 2) {
        printRow(reports[0], reports[1], reports[0]);
      }
      printRow(reports.back(), reports[1], reports[0]);
    }
    result["policies"].push_back(toJson(reports.back()));
  }
  return result;
}

int run(int argc, char* argv[]) {
  cxxopts::Options flags("routing_ablation", "Compares placement policies on one trace in one run.");
  flags.add_options()("load", "share of the capacity that is offered",
                      cxxopts::value<double>()->default_value("0.7"))(
      "seconds", "length of the trace", cxxopts::value<int64_t>()->default_value("360"))(
      "seed", "of the trace", cxxopts::value<uint64_t>()->default_value("20261202"))(
      "mix", "budapest, dakar or both", cxxopts::value<std::string>()->default_value("both"))(
      "only", "policies whose name has this, beside the baselines",
      cxxopts::value<std::string>()->default_value(""))("ablate", "also ours with one mechanism less",
                                                        cxxopts::value<bool>()->default_value("false"))(
      "cache-blocks", "blocks that an engine holds", cxxopts::value<uint32_t>()->default_value("512"))(
      "event-loss", "share of cache events that are lost", cxxopts::value<double>()->default_value("0.01"))(
      "json", "file for the results", cxxopts::value<std::string>())("help", "this text");
  const auto parsed = flags.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << flags.help();
    return 0;
  }
  const Options options{parsed["load"].as<double>(),   parsed["seconds"].as<int64_t>(),
                        parsed["seed"].as<uint64_t>(), parsed["cache-blocks"].as<uint32_t>(),
                        parsed["ablate"].as<bool>(),   parsed["event-loss"].as<double>()};
  const std::string wanted = parsed["mix"].as<std::string>();
  nlohmann::json results = nlohmann::json::array();
  for (const Mix& mix : {budapestMix(), dakarMix()}) {
    if (wanted == "both" || wanted == mix.name) {
      results.push_back(compare(mix, options, parsed["only"].as<std::string>()));
    }
  }
  if (parsed.count("json") > 0) {
    std::ofstream(parsed["json"].as<std::string>()) << results.dump(2) << "\n";
  }
  return 0;
}

}  // namespace
}  // namespace quincewick::ablation

int main(int argc, char* argv[]) {
  return quincewick::ablation::run(argc, argv);
}
