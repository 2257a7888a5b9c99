// The stand-ins over loopback, on free ports, through the library's HTTP client.
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <httplib.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "emulator/action_server.h"
#include "emulator/answer.h"
#include "emulator/cache_store_server.h"
#include "emulator/engine_server.h"
#include "emulator/platform_server.h"
#include "prefix/block_chain.h"

namespace quincewick::emulator {
namespace {

const Address kAnyPort{"127.0.0.1", 0};
constexpr const char* kJson = "application/json";

EngineServerSettings fastEngine() {
  EngineSettings engine;
  engine.block_size = 64;
  engine.step_base = absl::Microseconds(200);
  engine.step_per_request = absl::ZeroDuration();
  engine.prefill_per_token = absl::Nanoseconds(100);
  engine.cache_event_delay = absl::ZeroDuration();
  engine.load_report_period = absl::ZeroDuration();
  EngineServerSettings settings;
  settings.host.engine = std::make_shared<EngineSettings>(engine);
  settings.host.models = {LoadedModel{ModelName("base"), WeightsVersion(1), {}}};
  return settings;
}

Fault faultOf(FaultKind kind) {
  Fault fault;
  fault.kind = kind;
  return fault;
}

struct Events {
  std::vector<uint64_t> offsets;
  std::string text;
  nlohmann::json last;
  bool done = false;
};

Events parseEvents(const std::string& body) {
  Events events;
  for (const absl::string_view part : absl::StrSplit(body, "\n\n", absl::SkipEmpty())) {
    const std::vector<std::string> lines = absl::StrSplit(part, '\n');
    if (lines.back() == "data: [DONE]") {
      events.done = true;
    } else if (lines.size() == 2) {
      const auto data = nlohmann::json::parse(lines[1].substr(6));
      uint64_t offset = 0;
      CHECK(absl::SimpleAtoi(lines[0].substr(4), &offset));
      if (data["choices"][0]["finish_reason"].is_null()) {
        events.offsets.push_back(offset);
        events.text += data["choices"][0]["text"].get<std::string>();
      } else {
        events.last = data;
      }
    }
  }
  return events;
}

nlohmann::json completionBody(const std::string& id, const std::string& prompt, uint32_t tokens) {
  return {{"model", "base"}, {"prompt", prompt},     {"max_tokens", tokens},
          {"stream", true},  {"cache_salt", "salt"}, {"request_id", id}};
}

nlohmann::json get(httplib::Client& client, const char* path) {
  const httplib::Result result = client.Get(path);
  REQUIRE(result);
  return nlohmann::json::parse(result->body);
}

int post(httplib::Client& client, const char* path, const nlohmann::json& body) {
  const httplib::Result result = client.Post(path, body.dump(), kJson);
  return result ? result->status : 0;
}

TEST_CASE("an engine streams the whole answer, finds the prompt cached the second time, and resumes") {
  EngineServer engine(fastEngine());
  httplib::Client client("127.0.0.1", engine.start(kAnyPort).value());
  const std::string prompt(200, 'p');
  const uint64_t seed = answerSeed("base", prompt);

  const httplib::Result first = client.Post("/v1/completions", completionBody("a", prompt, 20).dump(), kJson);
  REQUIRE(first);
  const Events events = parseEvents(first->body);
  REQUIRE(events.done);
  CHECK(events.text == answerText(seed, 20));
  REQUIRE(events.offsets.size() == 20);
  for (uint64_t offset = 0; offset < 20; ++offset) {
    CHECK(events.offsets[offset] == offset);
  }
  CHECK(events.last["choices"][0]["finish_reason"] == "length");
  CHECK(events.last["usage"]["prompt_tokens_details"]["cached_tokens"] == 0);

  const httplib::Result resumed = client.Get("/v1/streams/a?from=7");
  REQUIRE(resumed);
  CHECK(parseEvents(resumed->body).offsets.front() == 7);
  CHECK(parseEvents(resumed->body).offsets.size() == 13);

  nlohmann::json continued = completionBody("b", prompt, 20);
  continued["resume_from"] = 7;
  continued["generated_prefix"] = answerText(seed, 7);
  const httplib::Result rest = client.Post("/v1/completions", continued.dump(), kJson);
  REQUIRE(rest);
  const Events tail = parseEvents(rest->body);
  CHECK(answerText(seed, 7) + tail.text == answerText(seed, 20));
  CHECK(tail.last["usage"]["prompt_tokens_details"]["cached_tokens"] == 192);

  const nlohmann::json load = get(client, "/v1/load");
  CHECK(load["cached_blocks"].get<uint64_t>() >= 3);
  CHECK(load["violations"]["total"] == 0);
  CHECK(get(client, "/v1/cache_events?after=0&limit=10")["events"].size() >= 3);
  CHECK(client.Delete("/v1/streams/nobody")->status == 404);
}

TEST_CASE("an engine refuses wrong versions, bad bodies and older orders without running anything") {
  EngineServer engine(fastEngine());
  httplib::Client client("127.0.0.1", engine.start(kAnyPort).value());
  nlohmann::json body = completionBody("a", "prompt", 5);
  body["weights_version"] = 2;
  CHECK(post(client, "/v1/completions", body) == 409);
  body["weights_version"] = 1;
  body["incarnation"] = 1;
  CHECK(post(client, "/v1/completions", body) == 409);
  CHECK(post(client, "/v1/completions", {{"model", 5}}) == 400);
  CHECK(client.Post("/v1/completions", "{", kJson)->status == 400);
  CHECK(get(client, "/admin/state")["accepted"] == 0);
  CHECK(get(client, "/v1/load")["incarnation"].get<uint64_t>() > 0);

  const nlohmann::json drain = {{"epoch", 2}, {"sequence", 1}, {"kind", "drain"}};
  CHECK(post(client, "/v1/orders", drain) == 200);
  CHECK(post(client, "/v1/orders", drain) == 200);
  CHECK(post(client, "/v1/orders", {{"epoch", 1}, {"sequence", 9}, {"kind", "resume"}}) == 409);
  CHECK(post(client, "/v1/completions", completionBody("b", "prompt", 5)) == 503);
  CHECK(post(client, "/v1/orders", {{"epoch", 2}, {"sequence", 2}, {"kind", "resume"}}) == 200);
  CHECK(post(client, "/v1/completions", completionBody("b", "prompt", 5)) == 200);
}

TEST_CASE("blocks travel through the cache store, and not under other weights") {
  CacheStoreServer store(CacheStoreSettings{});
  EngineServerSettings settings = fastEngine();
  settings.cache_store = Address{"127.0.0.1", store.start(kAnyPort).value()};
  EngineServer giver(settings);
  EngineServer taker(settings);
  settings.host.models[0].weights_version = WeightsVersion(2);
  EngineServer newer(settings);
  httplib::Client from("127.0.0.1", giver.start(kAnyPort).value());
  httplib::Client to("127.0.0.1", taker.start(kAnyPort).value());
  httplib::Client wrong("127.0.0.1", newer.start(kAnyPort).value());
  const std::string prompt(200, 'p');
  REQUIRE(post(from, "/v1/completions", completionBody("a", prompt, 5)) == 200);

  nlohmann::json blocks = nlohmann::json::array();
  for (const BlockKey& key : prefix::chainPrompt("salt", prompt, 64).blocks) {
    blocks.push_back(blockKeyToHex(key));
  }
  const nlohmann::json wanted = {{"cache_salt", "salt"}, {"blocks", blocks}};
  CHECK(post(to, "/v1/kv/export", wanted) == 404);
  const httplib::Result exported = from.Post("/v1/kv/export", wanted.dump(), kJson);
  REQUIRE(exported);
  REQUIRE(exported->status == 200);
  const nlohmann::json handle = {{"handle", nlohmann::json::parse(exported->body)["handle"]}};
  CHECK(post(to, "/v1/kv/import", handle) == 200);
  CHECK(post(wrong, "/v1/kv/import", handle) == 409);
  const httplib::Result answer = to.Post("/v1/completions", completionBody("b", prompt, 5).dump(), kJson);
  REQUIRE(answer);
  CHECK(parseEvents(answer->body).last["usage"]["prompt_tokens_details"]["cached_tokens"] == 192);

  // The fault of an engine that takes any blocks: the engine's own check must catch it.
  newer.inject(faultOf(FaultKind::kUncheckedImport));
  CHECK(post(wrong, "/v1/kv/import", handle) == 200);
  CHECK(post(wrong, "/v1/completions", completionBody("c", prompt, 5)) == 200);
  CHECK(get(wrong, "/v1/load")["violations"]["weights_version"] == 1);
}

TEST_CASE("an action server counts every run, also those whose answer was lost") {
  ActionServerSettings settings;
  settings.action_time = absl::ZeroDuration();
  ActionServer server(settings);
  const uint16_t port = server.start(kAnyPort).value();
  httplib::Client client("127.0.0.1", port);
  const auto act = [&](const char* key) {
    const httplib::Result result = client.Post("/actions/reserve", {{"Idempotency-Key", key}}, "{}", kJson);
    return result ? result->status : 0;
  };
  CHECK(act("one") == 200);
  Fault lose;
  lose.kind = FaultKind::kLoseAnswers;
  lose.count = 1;
  server.inject(lose);
  CHECK(act("two") == 0);
  CHECK(act("two") == 200);
  CHECK(post(client, "/actions/reserve", nlohmann::json::object()) == 400);
  CHECK(client.Get("/lookups/plate?number=1")->status == 200);
  const nlohmann::json runs = get(client, "/admin/runs");
  CHECK(runs["total"] == 3);
  CHECK(runs["site"]["doubled"] == 1);
}

TEST_CASE("the platform keeps a write whose answer was lost, and its list shows the machines") {
  PlatformSettings settings;
  settings.table_latency = absl::ZeroDuration();
  settings.object_latency = absl::ZeroDuration();
  PlatformServer platform(settings);
  httplib::Client client("127.0.0.1", platform.start(kAnyPort).value());
  const nlohmann::json create = {{"conditions", {{{"key", "k"}, {"version", 0}}}},
                                 {"writes", {{{"key", "k"}, {"value", "v"}}}}};
  Fault lose;
  lose.kind = FaultKind::kLoseAnswers;
  lose.count = 1;
  platform.inject(lose);
  CHECK(post(client, "/table/transact", create) == 0);
  CHECK(post(client, "/table/transact", create) == 409);
  const httplib::Result read = client.Post("/table/read", R"({"keys":["k","absent"]})", kJson);
  REQUIRE(read);
  const nlohmann::json items = nlohmann::json::parse(read->body)["items"];
  CHECK(items[0]["value"] == "v");
  CHECK(items[1]["version"] == 0);

  CHECK(client.Put("/objects/a/b", std::string("\0\xff bytes", 8), "application/octet-stream")->status ==
        200);
  CHECK(client.Get("/objects/a/b")->body == std::string("\0\xff bytes", 8));
  CHECK(get(client, "/objects?prefix=a")["names"][0] == "a/b");
  CHECK(client.Get("/objects/none")->status == 404);

  Machine machine;
  machine.id = "engine-1";
  machine.kind = MachineKind::kEngine;
  machine.zone = ZoneName("hall-a");
  machine.address = Address{"127.0.0.1", 1234};
  platform.setMachines({machine});
  CHECK(get(client, "/machines")["machines"][0]["address"] == "127.0.0.1:1234");

  CHECK(post(client, "/admin/faults", {{"kind", "outage"}}) == 200);
  CHECK(post(client, "/table/read", {{"keys", {"k"}}}) == 503);
  CHECK(client.Delete("/admin/faults")->status == 200);
  CHECK(post(client, "/table/read", {{"keys", {"k"}}}) == 200);
  CHECK(post(client, "/admin/faults", {{"kind", "outage"}, {"colour", 1}}) == 400);
}

TEST_CASE("a crashed engine cuts its streams, answers nobody, and comes back empty as another incarnation") {
  EngineServer engine(fastEngine());
  const uint16_t port = engine.start(kAnyPort).value();
  httplib::Client client("127.0.0.1", port);
  REQUIRE(post(client, "/v1/completions", completionBody("a", std::string(200, 'p'), 5)) == 200);
  const uint64_t before = get(client, "/v1/load")["incarnation"];

  Fault pause;
  pause.kind = FaultKind::kSlow;
  pause.factor = 1e6;
  engine.inject(pause);
  httplib::Client reader("127.0.0.1", port);
  bool crashed = false;
  const auto crash_once = [&](const char* /*data*/, size_t /*size*/) {
    if (!crashed) {
      crashed = true;
      engine.inject(faultOf(FaultKind::kCrash));
    }
    return true;
  };
  httplib::Request request;
  request.method = "POST";
  request.path = "/v1/completions";
  request.body = completionBody("b", "prompt", 60).dump();
  request.set_header("Content-Type", kJson);
  request.content_receiver = [&](const char* data, size_t size, uint64_t, uint64_t) {
    return crash_once(data, size);
  };
  const httplib::Result cut = reader.send(request);
  CHECK_FALSE(cut);
  CHECK(crashed);
  CHECK_FALSE(client.Get("/v1/load"));

  engine.clearFaults();
  nlohmann::json after;
  for (int attempt = 0; attempt < 1000 && after.is_null(); ++attempt) {
    if (const httplib::Result load = client.Get("/v1/load")) {
      after = nlohmann::json::parse(load->body);
    }
  }
  REQUIRE(after.is_object());
  CHECK(after["incarnation"].get<uint64_t>() > before);
  CHECK(after["cached_blocks"] == 0);
  CHECK(after["running"] == 0);
}

TEST_CASE("a paused engine stands still until the pause ends, and its stream is whole") {
  EngineServer engine(fastEngine());
  httplib::Client client("127.0.0.1", engine.start(kAnyPort).value());
  httplib::Request request;
  request.method = "POST";
  request.path = "/v1/completions";
  request.body = completionBody("a", "prompt", 60).dump();
  request.set_header("Content-Type", kJson);
  std::string body;
  bool stood_still = false;
  request.content_receiver = [&](const char* data, size_t size, uint64_t, uint64_t) {
    body.append(data, size);
    if (!stood_still) {
      engine.inject(faultOf(FaultKind::kPause));
      const auto next = [](const EngineModel& model) { return model.nextWakeup(); };
      for (int attempt = 0; attempt < 1'000'000 && !stood_still; ++attempt) {
        stood_still = engine.host().read(next) == absl::InfiniteFuture();
      }
      engine.clearFaults();
    }
    return true;
  };
  REQUIRE(client.send(request));
  CHECK(stood_still);
  CHECK(parseEvents(body).text == answerText(answerSeed("base", "prompt"), 60));
  CHECK(parseEvents(body).done);
}

TEST_CASE("a cut zone is kept away while others are served") {
  EngineServer engine(fastEngine());
  const uint16_t port = engine.start(kAnyPort).value();
  Fault cut;
  cut.kind = FaultKind::kCut;
  cut.zones = {"hall-b"};
  engine.inject(cut);
  httplib::Client client("127.0.0.1", port);
  CHECK_FALSE(client.Get("/v1/load", {{"X-Zone", "hall-b"}}));
  CHECK(client.Get("/v1/load", {{"X-Zone", "hall-a"}}));
}

}  // namespace
}  // namespace quincewick::emulator
