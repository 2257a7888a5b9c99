#include "cli/ctl_command.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "cli/ctl_client.h"
#include "cli/ctl_output.h"
#include "configuration/policy.h"
#include "configuration/policy_objects.h"

namespace quincewick::cli {
namespace {

using cli::CtlClient;
using cli::CtlResponse;
using Json = nlohmann::json;

enum ExitCode : int { kDone = 0, kFailed = 1, kMisuse = 2, kConflict = 3, kOutcomeUnknown = 4 };

constexpr int kStatusUnprocessable = 422;
constexpr absl::Duration kWatchInterval = absl::Seconds(1);

constexpr const char* kCommands =
    "Commands:\n"
    "  apply FILE              put the policy in FILE in force\n"
    "  get                     print the policy in force; its base_version makes a later apply safe\n"
    "  diff FILE               show what apply would change\n"
    "  status                  nodes with their versions and lag, back ends, rollouts\n"
    "  explain                 which route and engine a request gets, and why (--tenant, --kind, --model)\n"
    "  drain BACK_END          give a back end no new work\n"
    "  resume BACK_END         give it work again\n"
    "  rollout MODEL VERSION   set the weights that engines shall serve, and follow the progress\n"
    "  rollback VERSION        bring back an earlier version of the policy as a new one\n"
    "  watch                   print accepted changes as they come in force\n";

// The parsed command line.
struct Invocation {
  std::vector<std::string> positional_arguments;  // the command and its arguments
  bool json = false;
  bool once = false;
  std::optional<uint64_t> base;
  std::string comment;
  std::string operation;
  std::map<std::string, std::string> explain_query;
};

int misuse(const std::string& message) {
  std::cerr << "quincewick ctl: " << message << "\n";
  return kMisuse;
}

// Prints why a request failed and returns the exit code for it.
int reportFailure(const CtlResponse& response) {
  if (response.status == 0) {
    std::cerr << "quincewick ctl: the node can't be reached: " << response.transport_error << "\n";
    return kFailed;
  }
  const Json error = response.body.value("error", Json::object());
  const std::string type = error.value("type", "");
  if (type == "conflict" && error.contains("version")) {
    std::cerr << "conflict: " << error.value("key", "") << " was changed by " << error.value("author", "")
              << " in version " << error.at("version").dump()
              << "; get the policy again and repeat the change\n";
    return kConflict;
  }
  if (response.status == kStatusUnprocessable) {
    for (const Json& fault : error.value("faults", Json::array())) {
      std::cerr << fault.get<std::string>() << "\n";
    }
    return kMisuse;
  }
  std::cerr << "quincewick ctl: " << error.value("message", absl::StrCat("status ", response.status)) << "\n";
  return error.value("ran", "") == "unknown" ? kOutcomeUnknown : kFailed;
}

int printResponse(const Invocation& invocation, const CtlResponse& response,
                  std::string (*format)(const Json&)) {
  if (!response.ok()) {
    return reportFailure(response);
  }
  std::cout << (invocation.json ? response.body.dump(2) + "\n" : format(response.body));
  return kDone;
}

std::string formatAccepted(const Json& body) {
  const std::string version = body.value("version", Json()).dump();
  return body.value("changed", true) ? "accepted as version " + version + "\n"
                                     : "nothing to change at version " + version + "\n";
}

std::string formatDone(const Json& /*body*/) {
  return "done\n";
}

std::string newOperation() {
  std::random_device device;
  return absl::StrCat("ctl-", absl::Hex(device(), absl::kZeroPad8), absl::Hex(device(), absl::kZeroPad8),
                      absl::Hex(device(), absl::kZeroPad8));
}

Json operationBody(const Invocation& invocation) {
  const std::string operation = invocation.operation.empty() ? newOperation() : invocation.operation;
  return {{"operation", operation}, {"comment", invocation.comment}};
}

// Parses a policy file. Prints its errors and returns std::nullopt if it has any.
std::optional<configuration::Policy> readPolicy(const std::string& file) {
  std::ifstream input(file);
  if (!input) {
    std::cerr << file << ": can't be read\n";
    return std::nullopt;
  }
  std::ostringstream text;
  text << input.rdbuf();
  configuration::Parsed<configuration::Policy> parsed = configuration::parsePolicy(text.str());
  if (!parsed.ok()) {
    std::cerr << configuration::printDiagnostics(file, parsed.diagnostics) << "\n";
  }
  return std::move(parsed.value);
}

// The policy in force as reported by the node; `policy.base_version` is its version.
struct PolicyInForce {
  CtlResponse response;
  configuration::Policy policy;
};

std::optional<PolicyInForce> fetchPolicy(const CtlClient& client, int& exit_code) {
  PolicyInForce in_force{client.get("/v1/operator/policy"), {}};
  if (!in_force.response.ok()) {
    exit_code = reportFailure(in_force.response);
    return std::nullopt;
  }
  auto parsed = configuration::parsePolicy(in_force.response.body.value("text", ""));
  if (!parsed.ok()) {
    std::cerr << "quincewick ctl: the node's policy can't be read; is this tool older than the node?\n";
    exit_code = kFailed;
    return std::nullopt;
  }
  in_force.policy = std::move(*parsed.value);
  in_force.policy.base_version = in_force.response.body.value("version", uint64_t{0});
  return in_force;
}

int runGet(const CtlClient& client, const Invocation& invocation) {
  int exit_code = kDone;
  const auto in_force = fetchPolicy(client, exit_code);
  if (!in_force) {
    return exit_code;
  }
  std::cout << (invocation.json ? in_force->response.body.dump(2) + "\n"
                                : configuration::printPolicy(in_force->policy));
  return kDone;
}

int runDiff(const CtlClient& client, const Invocation& invocation) {
  int exit_code = kDone;
  auto wanted = readPolicy(invocation.positional_arguments[1]);
  if (!wanted) {
    return kMisuse;
  }
  const auto in_force = fetchPolicy(client, exit_code);
  if (!in_force) {
    return exit_code;
  }
  Json list = Json::array();
  for (const configuration::ObjectChange& change :
       configuration::policyDifference(in_force->policy, *wanted)) {
    list.push_back({{"key", change.key.value()}, {"text", change.text ? Json(*change.text) : Json()}});
  }
  if (invocation.json) {
    std::cout << Json{{"changes", list}}.dump(2) << "\n";
    return kDone;
  }
  for (const Json& change : list) {
    const bool is_set = change.at("text").is_string();
    std::cout << (is_set ? "set    " : "delete ") << change.at("key").get<std::string>()
              << (is_set ? " " + change.at("text").get<std::string>() : "") << "\n";
  }
  return kDone;
}

// The base version comes from --base, then from the file, then from the policy in force at the start of the
// command.
int runApply(const CtlClient& client, const Invocation& invocation) {
  const auto wanted = readPolicy(invocation.positional_arguments[1]);
  if (!wanted) {
    return kMisuse;
  }
  uint64_t base = invocation.base.value_or(wanted->base_version);
  if (base == 0) {
    int exit_code = kDone;
    const auto in_force = fetchPolicy(client, exit_code);
    if (!in_force) {
      return exit_code;
    }
    base = in_force->policy.base_version;
  }
  Json body = operationBody(invocation);
  body["base_version"] = base;
  body["policy"] = configuration::printPolicy(*wanted);
  return printResponse(invocation, client.postOperation("/v1/operator/changes", body), formatAccepted);
}

int runRollback(const CtlClient& client, const Invocation& invocation) {
  uint64_t version = 0;
  if (!absl::SimpleAtoi(invocation.positional_arguments[1], &version)) {
    return misuse("rollback: expected a version");
  }
  Json body = operationBody(invocation);
  body["version"] = version;
  return printResponse(invocation, client.postOperation("/v1/operator/rollback", body), formatAccepted);
}

int runBackEndCommand(const CtlClient& client, const Invocation& invocation) {
  const std::string path = "/v1/operator/back_ends/" + invocation.positional_arguments[1] + "/" +
                           invocation.positional_arguments[0];
  return printResponse(invocation, client.post(path, Json::object()), formatDone);
}

int runExplain(const CtlClient& client, const Invocation& invocation) {
  return printResponse(invocation, client.post("/v1/operator/explain", Json(invocation.explain_query)),
                       cli::formatExplanation);
}

// Polls and prints the progress of a rollout until it is done or rolled back.
int followRollout(const CtlClient& client, const Invocation& invocation) {
  for (;;) {
    const CtlResponse response = client.get("/v1/operator/status");
    if (!response.ok()) {
      return reportFailure(response);
    }
    std::string state = "unknown";
    for (const Json& rollout : response.body.value("rollouts", Json::array())) {
      if (rollout.value("model", "") == invocation.positional_arguments[1]) {
        state = rollout.value("state", "");
        std::cout << (invocation.json ? rollout.dump()
                                      : absl::StrCat(rollout.value("loaded", 0), " of ",
                                                     rollout.value("engines", 0), " engines, ", state))
                  << std::endl;
      }
    }
    if (state != "running" || invocation.once) {
      return state == "rolled_back" ? kFailed : kDone;
    }
    absl::SleepFor(kWatchInterval);
  }
}

int runRollout(const CtlClient& client, const Invocation& invocation) {
  uint64_t version = 0;
  if (!absl::SimpleAtoi(invocation.positional_arguments[2], &version)) {
    return misuse("rollout: expected a model and a version of its weights");
  }
  int exit_code = kDone;
  const auto in_force = fetchPolicy(client, exit_code);
  if (!in_force) {
    return exit_code;
  }
  configuration::Policy wanted = in_force->policy;
  const auto model = wanted.models.find(ModelName(invocation.positional_arguments[1]));
  if (model == wanted.models.end()) {
    return misuse("rollout: the policy has no model \"" + invocation.positional_arguments[1] + "\"");
  }
  model->second.weights_version = WeightsVersion(version);
  Json body = operationBody(invocation);
  body["base_version"] = in_force->policy.base_version;
  body["changes"] = Json::array();
  for (const auto& change : configuration::policyDifference(in_force->policy, wanted)) {
    body["changes"].push_back({{"key", change.key.value()}, {"text", *change.text}});
  }
  const int applied =
      printResponse(invocation, client.postOperation("/v1/operator/changes", body), formatAccepted);
  return applied == kDone ? followRollout(client, invocation) : applied;
}

int runWatch(const CtlClient& client, const Invocation& invocation) {
  uint64_t after = invocation.base.value_or(0);
  for (;;) {
    const CtlResponse response = client.get(absl::StrCat("/v1/operator/changes?after=", after));
    if (!response.ok()) {
      return reportFailure(response);
    }
    for (const Json& change : response.body.value("changes", Json::array())) {
      after = change.value("version", after);
      std::cout << (invocation.json ? change.dump()
                                    : absl::StrCat(after, "  ", change.value("accepted_at", ""), "  ",
                                                   change.value("author", ""), "  ",
                                                   change.value("keys", Json::array()).dump(), "  ",
                                                   change.value("comment", "")))
                << std::endl;
    }
    if (invocation.once) {
      return kDone;
    }
    absl::SleepFor(kWatchInterval);
  }
}

int runStatus(const CtlClient& client, const Invocation& invocation) {
  return printResponse(invocation, client.get("/v1/operator/status"), cli::formatStatus);
}

struct Command {
  size_t positional_argument_count = 1;  // includes the command's name
  int (*run)(const CtlClient& client, const Invocation& invocation) = nullptr;
};

const std::map<std::string, Command>& commands() {
  static const auto* const table = new std::map<std::string, Command>{
      {"apply", {2, runApply}},           {"get", {1, runGet}},         {"diff", {2, runDiff}},
      {"status", {1, runStatus}},         {"explain", {1, runExplain}}, {"drain", {2, runBackEndCommand}},
      {"resume", {2, runBackEndCommand}}, {"rollout", {3, runRollout}}, {"rollback", {2, runRollback}},
      {"watch", {1, runWatch}},
  };
  return *table;
}

cxxopts::Options makeOptions() {
  cxxopts::Options options("quincewick ctl", "Operates a site through any of its nodes.");
  options.positional_help("COMMAND [ARGUMENTS]");
  options.add_options()("h,help", "Show this help")(
      "node", "A node's address for operators",
      cxxopts::value<std::string>()->default_value("127.0.0.1:8081"))(
      "key", "The operator's key; by default from the environment: QUINCEWICK_OPERATOR_KEY",
      cxxopts::value<std::string>()->default_value(""))(
      "output", "table or json", cxxopts::value<std::string>()->default_value("table"))(
      "timeout", "How long to wait for the node, in whole seconds",
      cxxopts::value<uint32_t>()->default_value("15"))(
      "base", "The version that the change was made from (apply), or to begin after (watch)",
      cxxopts::value<uint64_t>())("comment", "Kept with the change",
                                  cxxopts::value<std::string>()->default_value(""))(
      "operation", "The operation's id, to repeat one whose outcome is unknown",
      cxxopts::value<std::string>()->default_value(""))("once", "Do not follow (rollout, watch)")(
      "tenant", "Tenant of the request to explain", cxxopts::value<std::string>()->default_value(""))(
      "kind", "Request kind of the request to explain", cxxopts::value<std::string>()->default_value(""))(
      "model", "Model of the request to explain", cxxopts::value<std::string>()->default_value(""))(
      "prompt", "Prompt of the request to explain", cxxopts::value<std::string>()->default_value(""))(
      "words", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"words"});
  return options;
}

Invocation makeInvocation(const cxxopts::ParseResult& arguments) {
  Invocation invocation;
  if (arguments.count("words") > 0) {
    invocation.positional_arguments = arguments["words"].as<std::vector<std::string>>();
  }
  invocation.json = arguments["output"].as<std::string>() == "json";
  invocation.once = arguments.count("once") > 0;
  if (arguments.count("base") > 0) {
    invocation.base = arguments["base"].as<uint64_t>();
  }
  invocation.comment = arguments["comment"].as<std::string>();
  invocation.operation = arguments["operation"].as<std::string>();
  for (const char* field : {"tenant", "kind", "model", "prompt"}) {
    invocation.explain_query[field] = arguments[field].as<std::string>();
  }
  return invocation;
}

std::optional<Address> parseAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  uint32_t port = 0;
  if (colon == std::string::npos || colon == 0 || !absl::SimpleAtoi(text.substr(colon + 1), &port) ||
      port == 0 || port > UINT16_MAX) {
    return std::nullopt;
  }
  return Address{text.substr(0, colon), static_cast<uint16_t>(port)};
}

std::string operatorKey(const cxxopts::ParseResult& arguments) {
  const auto key = arguments["key"].as<std::string>();
  const char* from_environment = std::getenv("QUINCEWICK_OPERATOR_KEY");
  return key.empty() && from_environment != nullptr ? from_environment : key;
}

int dispatch(const cxxopts::ParseResult& arguments) {
  const Invocation invocation = makeInvocation(arguments);
  if (invocation.positional_arguments.empty()) {
    return misuse("expected a command; see --help");
  }
  const auto command = commands().find(invocation.positional_arguments[0]);
  if (command == commands().end()) {
    return misuse("unknown command \"" + invocation.positional_arguments[0] + "\"; see --help");
  }
  if (invocation.positional_arguments.size() != command->second.positional_argument_count) {
    return misuse(absl::StrCat(invocation.positional_arguments[0], ": expected ",
                               command->second.positional_argument_count - 1, " arguments"));
  }
  const auto output = arguments["output"].as<std::string>();
  if (output != "table" && output != "json") {
    return misuse("--output: expected table or json");
  }
  const std::optional<Address> node = parseAddress(arguments["node"].as<std::string>());
  if (!node) {
    return misuse("--node: expected IP:PORT");
  }
  const CtlClient client(*node, operatorKey(arguments), absl::Seconds(arguments["timeout"].as<uint32_t>()));
  return command->second.run(client, invocation);
}

}  // namespace

int runCtlCommand(int argc, char** argv) {
  cxxopts::Options options = makeOptions();
  try {
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
      std::cout << options.help() << "\n" << kCommands;
      return kDone;
    }
    return dispatch(arguments);
  } catch (const std::exception& exception) {
    return misuse(exception.what());
  }
}

}  // namespace quincewick::cli
