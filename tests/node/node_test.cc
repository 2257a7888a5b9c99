// Whole nodes over stand-ins on loopback: what callers are promised, through failures of engines, connections
// and nodes. No assertion here depends on how fast anything is.
#include "node/node.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

#include "emulator/action_server.h"
#include "emulator/answer.h"
#include "emulator/engine_server.h"
#include "emulator/platform_server.h"

namespace quincewick::node {
namespace {

using Json = nlohmann::json;

constexpr const char* kKey = "caller-key";
constexpr const char* kModel = "model";
constexpr size_t kNodeCount = 3;
constexpr size_t kEngineCount = 2;
constexpr absl::Duration kPatience = absl::Seconds(20);

Address anyPort() {
  return {"127.0.0.1", 0};
}

Machine makeMachine(const std::string& id, MachineKind kind, uint16_t port) {
  Machine machine;
  machine.id = id;
  machine.kind = kind;
  machine.zone = ZoneName("zone-0");
  machine.region = RegionName("region");
  machine.address = {"127.0.0.1", port};
  return machine;
}

configuration::Policy sitePolicy() {
  configuration::Policy policy;
  policy.tenants[TenantId("tenant")].caller_keys = {{configuration::hashKey(kKey), std::nullopt}};
  policy.models[ModelName(kModel)].weights_version = WeightsVersion(1);
  policy.request_kinds[RequestKind("save")].type = configuration::RequestType::kAction;
  policy.groups[GroupName("all")] = {};
  routing::RouteSpecification route;
  route.name = "everything";
  route.groups = {GroupName("all")};
  policy.routes[route.name] = route;
  return policy;
}

configuration::NodeSettings nodeSettings(size_t index, const Address& platform) {
  configuration::NodeSettings settings;
  settings.node_id = NodeId(absl::StrCat("node-", index));
  settings.zone = ZoneName(absl::StrCat("zone-", index));
  settings.region = RegionName("region");
  settings.listen = {anyPort(), anyPort(), anyPort()};
  settings.platform.address = platform;
  settings.salt_secret = std::string(64, 'a');
  settings.peer_keys = {{1, std::string(64, 'b')}};
  settings.http.caller_threads = 24;
  return settings;
}

emulator::Fault makeFault(emulator::FaultKind kind, absl::Duration duration) {
  emulator::Fault fault;
  fault.kind = kind;
  fault.duration = duration;
  return fault;
}

// Three nodes of three zones, two engines, one action server, one platform.
class Site {
 public:
  Site() : platform_(platformSettings()) {
    const Address platform_address{"127.0.0.1", platform_.start(anyPort()).value()};
    emulator::ActionServerSettings action_settings;
    action_settings.runs = std::make_shared<emulator::ActionRunLog>();
    runs_ = action_settings.runs;
    actions_ = std::make_unique<emulator::ActionServer>(action_settings);
    machines_.push_back(
        makeMachine("actions", MachineKind::kActionServer, actions_->start(anyPort()).value()));
    for (size_t index = 0; index < kEngineCount; ++index) {
      startEngine(index);
    }
    for (size_t index = 0; index < kNodeCount; ++index) {
      startNode(index, platform_address);
    }
    platform_.setMachines(machines_);
    waitUntilReady();
  }

  httplib::Client client(size_t node) const {
    httplib::Client client("127.0.0.1", ports_.at(node).callers);
    client.set_read_timeout(absl::ToInt64Seconds(kPatience));
    client.set_default_headers({{"Authorization", std::string("Bearer ") + kKey}});
    return client;
  }

  uint16_t callerPort(size_t node) const { return ports_.at(node).callers; }
  Node& node(size_t index) { return *nodes_.at(index); }
  void stopNode(size_t index) { nodes_.at(index).reset(); }
  emulator::EngineServer& engine(size_t index) { return *engines_.at(index); }
  emulator::ActionServer& actions() { return *actions_; }
  emulator::PlatformServer& platform() { return platform_; }
  emulator::ActionTotals actionTotals() { return runs_->totals(); }

 private:
  static emulator::PlatformSettings platformSettings() {
    emulator::PlatformSettings settings;
    settings.machine_list_lag = absl::ZeroDuration();
    return settings;
  }

  void startEngine(size_t index) {
    emulator::EngineServerSettings settings;
    settings.host.engine = std::make_shared<const emulator::EngineSettings>();
    settings.host.models = {LoadedModel{ModelName(kModel), WeightsVersion(1), {}}};
    settings.host.seed = index + 1;
    engines_.push_back(std::make_unique<emulator::EngineServer>(settings));
    machines_.push_back(makeMachine(absl::StrCat("engine-", index), MachineKind::kEngine,
                                    engines_.back()->start(anyPort()).value()));
  }

  void startNode(size_t index, const Address& platform_address) {
    nodes_.push_back(std::make_unique<Node>(nodeSettings(index, platform_address), sitePolicy()));
    ports_.push_back(nodes_.back()->start().value());
    Machine machine = makeMachine(absl::StrCat("node-", index), MachineKind::kNode, ports_.back().peers);
    machine.zone = ZoneName(absl::StrCat("zone-", index));
    machines_.push_back(machine);
  }

  void waitUntilReady() {
    const absl::Time limit = absl::Now() + kPatience;
    for (const auto& node : nodes_) {
      while (absl::Now() < limit && !(node->ready() && node->answeringEngines() == kEngineCount)) {
        absl::SleepFor(absl::Milliseconds(10));
      }
      REQUIRE(node->ready());
    }
  }

  emulator::PlatformServer platform_;
  std::shared_ptr<emulator::ActionRunLog> runs_;
  std::unique_ptr<emulator::ActionServer> actions_;
  std::vector<std::unique_ptr<emulator::EngineServer>> engines_;
  std::vector<Machine> machines_;
  std::vector<NodePorts> ports_;
  std::vector<std::unique_ptr<Node>> nodes_;
};

std::string completionBody(const std::string& prompt, uint32_t tokens) {
  return Json{{"model", kModel}, {"prompt", prompt}, {"max_tokens", tokens}, {"stream", true}}.dump();
}

std::string expectedText(const std::string& prompt, uint32_t tokens) {
  return emulator::answerText(emulator::answerSeed(kModel, prompt), tokens);
}

// What a caller has read of one stream.
struct ReadStream {
  std::string text;
  std::string last_event_id;
  size_t tokens = 0;
  size_t ends = 0;

  void take(const std::string& bytes) {
    buffer += bytes;
    size_t end = 0;
    while ((end = buffer.find("\n\n")) != std::string::npos) {
      takeEvent(buffer.substr(0, end));
      buffer.erase(0, end + 2);
    }
  }

 private:
  void takeEvent(const std::string& event) {
    const size_t data = event.find("data: ");
    const std::string body = event.substr(data + 6);
    if (body == "[DONE]") {
      ++ends;
      return;
    }
    const Json choice = Json::parse(body).at("choices").at(0);
    if (choice.at("finish_reason").is_null()) {
      text += choice.value("text", choice.value("delta", Json::object()).value("content", ""));
      last_event_id = event.substr(4, event.find('\n') - 4);
      ++tokens;
    }
  }

  std::string buffer;
};

// Reads a stream; `after_tokens` calls `act` once so many tokens have come, and stops reading if it says so.
void readStream(httplib::Client& client, httplib::Request request, ReadStream& stream, size_t after_tokens,
                const std::function<bool()>& act) {
  bool acted = false;
  request.content_receiver = [&](const char* data, size_t size, uint64_t, uint64_t) {
    stream.take(std::string(data, size));
    if (!acted && stream.tokens >= after_tokens) {
      acted = true;
      return act();
    }
    return true;
  };
  client.send(request);
}

httplib::Request completionRequest(const std::string& prompt, uint32_t tokens) {
  httplib::Request request;
  request.method = "POST";
  request.path = "/v1/completions";
  request.body = completionBody(prompt, tokens);
  request.set_header("Content-Type", "application/json");
  return request;
}

TEST_CASE("an answer is whole and in order though its engine dies in mid-stream") {
  // Whichever engine serves it, one of the two runs hits it.
  const size_t dying_engine = GENERATE(0, 1);
  Site site;
  const std::string prompt = "why does the engine die";
  constexpr uint32_t tokens = 60;
  ReadStream stream;
  httplib::Client client = site.client(0);
  readStream(client, completionRequest(prompt, tokens), stream, 5, [&] {
    site.engine(dying_engine).inject(makeFault(emulator::FaultKind::kCrash, absl::Milliseconds(300)));
    return true;
  });
  CHECK(stream.text == expectedText(prompt, tokens));
  CHECK(stream.ends == 1);
}

TEST_CASE(
    "a caller whose connection breaks gets the rest from another node, nothing twice and nothing missing") {
  Site site;
  const std::string prompt = "the connection breaks";
  constexpr uint32_t tokens = 40;
  ReadStream stream;
  httplib::Client first = site.client(0);
  readStream(first, completionRequest(prompt, tokens), stream, 4, [] { return false; });
  REQUIRE(stream.tokens >= 4);
  REQUIRE(stream.ends == 0);

  httplib::Request again;
  again.method = "GET";
  const std::string request_id = stream.last_event_id.substr(0, stream.last_event_id.rfind(':'));
  again.path = "/v1/streams/" + request_id;
  again.set_header("Last-Event-ID", stream.last_event_id);
  const absl::Time limit = absl::Now() + kPatience;
  while (stream.ends == 0 && absl::Now() < limit) {
    // Until the first node has noticed that the caller is gone there is nothing to take.
    httplib::Client second = site.client(1);
    httplib::Request request = again;
    request.response_handler = [](const httplib::Response& response) { return response.status == 200; };
    readStream(second, request, stream, SIZE_MAX, [] { return true; });
  }
  CHECK(stream.text == expectedText(prompt, tokens));
  CHECK(stream.ends == 1);
}

TEST_CASE("another tenant's or an unknown answer can't be taken up") {
  Site site;
  httplib::Client client = site.client(0);
  const auto unknown = client.Get("/v1/streams/node-0~0123456789abcdef");
  REQUIRE(unknown);
  CHECK(unknown->status == 404);
}

TEST_CASE("an action sent through all nodes at once, again and again, runs once") {
  Site site;
  constexpr int keys = 8;
  std::atomic<int> done = 0;
  std::vector<std::thread> callers;
  for (size_t node = 0; node < kNodeCount; ++node) {
    callers.emplace_back([&site, &done, node] {
      httplib::Client client = site.client(node);
      for (int key = 0; key < keys; ++key) {
        const httplib::Headers headers = {{"Idempotency-Key", absl::StrCat("key-", key)}};
        const absl::Time limit = absl::Now() + kPatience;
        while (absl::Now() < limit) {
          const auto answer = client.Post("/v1/actions/save", headers, R"({"level":3})", "application/json");
          if (answer && answer->status == 200) {
            ++done;
            break;
          }
          absl::SleepFor(absl::Milliseconds(20));
        }
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK(done == static_cast<int>(kNodeCount) * keys);
  CHECK(site.actionTotals().runs == keys);
  CHECK(site.actionTotals().doubled == 0);

  httplib::Client client = site.client(1);
  const auto conflict =
      client.Post("/v1/actions/save", {{"Idempotency-Key", "key-0"}}, R"({"level":4})", "application/json");
  REQUIRE(conflict);
  CHECK(conflict->status == 409);
}

TEST_CASE("actions go on while the platform is out, still once each") {
  Site site;
  httplib::Client client = site.client(0);
  const auto before =
      client.Post("/v1/actions/save", {{"Idempotency-Key", "before"}}, R"({})", "application/json");
  REQUIRE(before);
  REQUIRE(before->status == 200);
  // The other node has taken its place in the ledger before the outage: one that has not can't know the key.
  httplib::Client other = site.client(2);
  const absl::Time limit = absl::Now() + kPatience;
  bool takes_part = false;
  while (!takes_part && absl::Now() < limit) {
    const auto own =
        other.Post("/v1/actions/save", {{"Idempotency-Key", "own"}}, R"({})", "application/json");
    takes_part = own && own->status == 200;
  }
  REQUIRE(takes_part);
  site.platform().inject(makeFault(emulator::FaultKind::kOutage, absl::InfiniteDuration()));
  const auto repeat =
      other.Post("/v1/actions/save", {{"Idempotency-Key", "before"}}, R"({})", "application/json");
  REQUIRE(repeat);
  CHECK(repeat->status == 200);
  CHECK(repeat->get_header_value("X-Repeated") == "true");
  CHECK(site.actionTotals().runs == 2);  // "before" and "own", each once
}

TEST_CASE("a leaving node refuses new work as not run and finishes what it has") {
  Site site;
  const std::string prompt = "a planned stop";
  constexpr uint32_t tokens = 60;
  ReadStream stream;
  httplib::Client client = site.client(0);
  std::thread drain;
  readStream(client, completionRequest(prompt, tokens), stream, 3, [&] {
    drain = std::thread([&site] {
      membership::DrainSettings settings;
      settings.announcement_period = absl::ZeroDuration();
      site.node(0).drain(settings);
    });
    return true;
  });
  drain.join();
  CHECK(stream.text == expectedText(prompt, tokens));
  CHECK(stream.ends == 1);
  httplib::Client late = site.client(0);
  const auto refused = late.Post("/v1/completions", completionBody(prompt, 3), "application/json");
  REQUIRE(refused);
  CHECK(refused->status == 503);
  CHECK(Json::parse(refused->body).at("error").at("ran") == "no");
}

TEST_CASE(
    "requests without a valid key, to unknown models, kinds and paths are refused by type, as not run") {
  Site site;
  httplib::Client client = site.client(0);
  httplib::Client stranger("127.0.0.1", site.callerPort(0));
  const auto no_key = stranger.Post("/v1/completions", completionBody("x", 1), "application/json");
  REQUIRE(no_key);
  CHECK(no_key->status == 401);
  const auto no_model =
      client.Post("/v1/completions", R"({"model":"other","prompt":"x"})", "application/json");
  REQUIRE(no_model);
  CHECK(no_model->status == 404);
  const auto no_kind = client.Post("/v1/actions/other", {{"Idempotency-Key", "k"}}, "{}", "application/json");
  REQUIRE(no_kind);
  CHECK(no_kind->status == 404);
  const auto keyless = client.Post("/v1/actions/save", "{}", "application/json");
  REQUIRE(keyless);
  CHECK(keyless->status == 400);
  const auto no_path = client.Get("/v2/other");
  REQUIRE(no_path);
  CHECK(no_path->status == 404);
  for (const auto* answer : {&no_key, &no_model, &no_kind, &keyless}) {
    CHECK(Json::parse((*answer)->body).at("error").at("ran") == "no");
  }
  CHECK(site.actionTotals().runs == 0);
}

}  // namespace
}  // namespace quincewick::node
