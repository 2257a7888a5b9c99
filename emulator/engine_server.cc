#include "emulator/engine_server.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "emulator/answer.h"
#include "emulator/engine_json.h"
#include "emulator/event_stream.h"

namespace quincewick::emulator {
namespace {

constexpr absl::Duration kWriteInterval = absl::Milliseconds(200);  // how soon a cut reader is noticed
constexpr uint64_t kDefaultEventLimit = 1000;
constexpr uint64_t kMostEvents = 10'000;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kBadRequest = 400;
constexpr int kServiceUnavailable = 503;

void setVersionHeaders(const Completion& completion, httplib::Response& response) {
  response.set_header("X-Engine-Incarnation", std::to_string(completion.incarnation.value()));
  response.set_header("X-Weights-Version", std::to_string(completion.weights_version.value()));
}

std::string_view finishName(FinishReason reason) {
  return reason == FinishReason::kStop ? "stop" : "length";
}

// Fills in what the caller left out.
EngineServerSettings withDefaults(EngineServerSettings settings) {
  EngineHost::Settings& host = settings.host;
  if (host.incarnation == Incarnation()) {
    host.incarnation = Incarnation(static_cast<uint64_t>(absl::ToUnixMicros(absl::Now())));
  }
  if (host.engine == nullptr) {
    host.engine = std::make_shared<EngineSettings>();
  }
  if (host.weights == nullptr) {
    host.weights = std::make_shared<WeightStore>(WeightLoaderSettings{});
  }
  return settings;
}

}  // namespace

EngineServer::EngineServer(EngineServerSettings settings)
    : StandIn(settings.host.seed),
      settings_(withDefaults(std::move(settings))),
      host_(settings_.host, [this] { poke(); }) {
  addCompletionRoutes();
  addControlRoutes();
}

EngineServer::~EngineServer() {
  stop();
}

absl::Time EngineServer::tick(absl::Time now) {
  const bool paused = faults().isActive(FaultKind::kPause, now);
  const double pace = paused ? std::numeric_limits<double>::infinity() : faults().slowdown(now);
  if (pace != pace_) {
    pace_ = pace;
    host_.setPace(pace);
  }
  const bool drops = faults().isActive(FaultKind::kDropEvents, now);
  if (drops != drops_events_) {
    drops_events_ = drops;
    host_.dropCacheEventsUntil(drops ? absl::InfiniteFuture() : absl::InfinitePast());
  }
  return host_.tick(now);
}

void EngineServer::onCrash(bool crashed, bool keep_cache) {
  if (crashed) {
    host_.crash();
  } else {
    host_.restart(keep_cache);
  }
}

void EngineServer::addCompletionRoutes() {
  server().Post("/v1/completions",
                guarded([this](const httplib::Request& request, httplib::Response& response) {
                  complete(request, response);
                }));
  server().Get(R"(/v1/streams/([^/]+))",
               guarded([this](const httplib::Request& request, httplib::Response& response) {
                 resume(request, response);
               }));
  server().Delete(R"(/v1/streams/([^/]+))",
                  guarded([this](const httplib::Request& request, httplib::Response& response) {
                    if (!host_.cancel(RequestId(request.matches[1].str()))) {
                      answerError(response, kNotFound, ErrorCode::kNotFound, "stream", "no such stream");
                      return;
                    }
                    answerJson(response, {{"cancelled", true}});
                  }));
}

void EngineServer::addControlRoutes() {
  const auto add_get = [this](const char* path, auto make) {
    server().Get(path, guarded([make](const httplib::Request& request, httplib::Response& response) {
                   answerJson(response, make(request));
                 }));
  };
  add_get("/v1/load", [this](const httplib::Request&) { return loadReport(); });
  add_get("/v1/cache_events", [this](const httplib::Request& request) { return cacheEvents(request); });
  add_get("/admin/state", [this](const httplib::Request&) { return state(); });
  const auto add_post = [this](const char* path, auto member) {
    server().Post(path, guarded([this, member](const httplib::Request& request, httplib::Response& response) {
                    (this->*member)(request, response);
                  }));
  };
  add_post("/v1/kv/export", &EngineServer::exportBlocks);
  add_post("/v1/kv/import", &EngineServer::importBlocks);
  add_post("/v1/orders", &EngineServer::takeOrder);
}

void EngineServer::complete(const httplib::Request& request, httplib::Response& response) {
  const nlohmann::json body = bodyOf(request);
  const CompletionCall call = completionCallFromJson(body);
  const bool stream = body.value("stream", false);
  const auto result = host_.submit(call);
  if (const auto* reason = std::get_if<RefusalReason>(&result)) {
    answerRefusal(response, *reason);
    return;
  }
  const auto& completion = std::get<EngineHost::CompletionPointer>(result);
  setVersionHeaders(*completion, response);
  if (stream) {
    answerStream(completion, completion->first_offset, response);
  } else {
    answerWhole(*completion, response);
  }
}

void EngineServer::resume(const httplib::Request& request, httplib::Response& response) {
  const EngineHost::CompletionPointer completion = host_.attach(RequestId(request.matches[1].str()));
  if (completion == nullptr) {
    answerError(response, kNotFound, ErrorCode::kNotFound, "stream", "no such stream");
    return;
  }
  const uint64_t from = queryNumber(request, "from", completion->first_offset);
  if (from < completion->first_offset || from > completion->end_offset) {
    host_.detach(*completion);
    answerError(response, kBadRequest, ErrorCode::kInvalidArgument, "offset",
                "the stream does not have this offset");
    return;
  }
  setVersionHeaders(*completion, response);
  answerStream(completion, from, response);
}

void EngineServer::answerWhole(const Completion& completion, httplib::Response& response) {
  CompletionView view;
  do {
    view = host_.waitBeyond(completion, completion.end_offset, absl::Now() + kWriteInterval);
  } while (view.state == CompletionState::kRunning && !stopping());
  host_.detach(completion);
  if (view.state != CompletionState::kFinished) {
    answerError(response, kServiceUnavailable, ErrorCode::kUnavailable, "cancelled",
                "the completion was cancelled", Execution::kUnknown);
    return;
  }
  nlohmann::json answer = endOf(completion, view);
  std::string text;
  for (uint64_t offset = completion.first_offset; offset < completion.end_offset; ++offset) {
    text += answerToken(completion.answer_seed, offset);
  }
  answer["choices"][0]["text"] = text;
  answerJson(response, answer);
}

void EngineServer::answerStream(const EngineHost::CompletionPointer& completion, uint64_t from,
                                httplib::Response& response) {
  auto writer = std::make_shared<EventStreamWriter>(*completion, from, faults());
  const auto provide = [this, completion, writer](size_t /*offset*/, httplib::DataSink& sink) {
    const CompletionView view = host_.waitBeyond(*completion, writer->next(), absl::Now() + kWriteInterval);
    waitWhilePaused();
    if (stopping() || view.state == CompletionState::kLost) {
      return false;
    }
    const std::optional<std::string> events = writer->tokensUntil(view.until);
    if (!events) {
      return false;
    }
    // A write is the only way to learn that the reader has gone; a comment carries nothing.
    const std::string bytes = events->empty() ? ": waiting\n\n" : *events;
    if (!sink.write(bytes.data(), bytes.size())) {
      return false;
    }
    if (view.state == CompletionState::kRunning) {
      return true;
    }
    if (view.state == CompletionState::kCancelled) {
      return false;
    }
    const std::string end = writer->end(endOf(*completion, view));
    sink.write(end.data(), end.size());
    sink.done();
    return true;
  };
  response.set_chunked_content_provider("text/event-stream", provide,
                                        [this, completion](bool) { host_.detach(*completion); });
}

nlohmann::json EngineServer::endOf(const Completion& completion, const CompletionView& view) {
  const EngineLoad load = host_.read([](const EngineModel& model) { return model.currentLoad(); });
  return {
      {"id", completion.request_id.value()},
      {"choices", {{{"index", 0}, {"text", ""}, {"finish_reason", finishName(completion.finish_reason)}}}},
      {"usage",
       {{"prompt_tokens", completion.prompt_tokens},
        {"completion_tokens", completion.end_offset},
        {"total_tokens", completion.prompt_tokens + completion.end_offset},
        {"prompt_tokens_details", {{"cached_tokens", view.cached_tokens}}}}},
      {"engine",
       {{"incarnation", completion.incarnation.value()},
        {"weights_version", completion.weights_version.value()},
        {"running", load.running},
        {"waiting", load.waiting},
        {"queued_prefill", load.queued_prefill}}}};
}

nlohmann::json EngineServer::loadReport() {
  return host_.read([](EngineModel& model) -> nlohmann::json {
    const EngineLoad load = model.reportedLoad(absl::Now());
    return {{"incarnation", load.incarnation.value()},
            {"running", load.running},
            {"waiting", load.waiting},
            {"queued_prefill", load.queued_prefill},
            {"cached_blocks", load.cached_blocks},
            {"cache_capacity_blocks", load.cache_capacity_blocks},
            {"models", modelsToJson(model.models())},
            {"role", model.role()},
            {"draining", model.draining()},
            {"violations", violationsToJson(model.counters().violations)}};
  });
}

nlohmann::json EngineServer::state() {
  return host_.read([](const EngineModel& model) -> nlohmann::json {
    const EngineCounters& counters = model.counters();
    return {{"incarnation", model.incarnation().value()},
            {"accepted", counters.accepted},
            {"refused", counters.refused},
            {"finished", counters.finished},
            {"aborted", counters.aborted},
            {"prompt_tokens", counters.prompt_tokens},
            {"cached_tokens", counters.cached_tokens},
            {"fenced_orders", counters.fenced_orders},
            {"violations", violationsToJson(counters.violations)}};
  });
}

nlohmann::json EngineServer::cacheEvents(const httplib::Request& request) {
  const uint64_t after = queryNumber(request, "after", 0);
  const uint64_t limit = std::min(queryNumber(request, "limit", kDefaultEventLimit), kMostEvents);
  return host_.read([&](const EngineModel& model) -> nlohmann::json {
    nlohmann::json list = nlohmann::json::array();
    uint64_t next = after;
    for (const CacheEvent& event : model.cacheEvents(Sequence(after), limit, absl::Now())) {
      list.push_back(cacheEventToJson(event));
      next = event.sequence.value();
    }
    return {{"incarnation", model.incarnation().value()}, {"events", list}, {"next", next}};
  });
}

void EngineServer::exportBlocks(const httplib::Request& request, httplib::Response& response) {
  const nlohmann::json body = bodyOf(request);
  const auto blocks = blocksFromJson(body.at("blocks"));
  if (!blocks || !settings_.cache_store) {
    answerError(response, kBadRequest, ErrorCode::kInvalidArgument, "blocks",
                "malformed block keys, or no cache store is set");
    return;
  }
  const auto cache_salt = body.at("cache_salt").get<std::string>();
  const ModelName wanted(body.value("model", std::string()));
  const AdapterName adapter(body.value("adapter", std::string()));
  nlohmann::json entry = host_.read([&](const EngineModel& model) -> nlohmann::json {
    for (const LoadedModel& loaded : model.models()) {
      const uint64_t salt = saltFingerprint(cache_salt, loaded.model, adapter);
      const size_t held = model.heldPrefix(*blocks, salt, loaded.weights_version);
      if (held > 0 && (wanted.empty() || wanted == loaded.model)) {
        return {
            {"model", loaded.model.value()},
            {"salt", salt},
            {"weights_version", loaded.weights_version.value()},
            {"incarnation", model.incarnation().value()},
            {"blocks", blocksToJson({blocks->begin(), blocks->begin() + static_cast<std::ptrdiff_t>(held)})}};
      }
    }
    return nullptr;
  });
  if (entry.is_null()) {
    answerError(response, kNotFound, ErrorCode::kNotFound, "blocks", "none of these blocks is held");
    return;
  }
  const auto count = static_cast<int64_t>(entry["blocks"].size());
  sleepUnlessStopping(settings_.host.engine->transfer_per_block * count);
  httplib::Client store(settings_.cache_store->host, settings_.cache_store->port);
  const httplib::Result stored = store.Post("/entries", entry.dump(), "application/json");
  if (!stored || stored->status != 200) {
    answerError(response, kServiceUnavailable, ErrorCode::kUnavailable, "cache_store",
                "the cache store did not take the blocks", Execution::kUnknown);
    return;
  }
  response.status = stored->status;
  response.set_content(stored->body, "application/json");
}

void EngineServer::importBlocks(const httplib::Request& request, httplib::Response& response) {
  const auto handle = bodyOf(request).at("handle").get<std::string>();
  if (!settings_.cache_store) {
    answerError(response, kServiceUnavailable, ErrorCode::kUnavailable, "cache_store",
                "no cache store is set");
    return;
  }
  httplib::Client store(settings_.cache_store->host, settings_.cache_store->port);
  const httplib::Result found = store.Get("/entries/" + handle);
  if (!found || found->status != 200) {
    answerError(response, kNotFound, ErrorCode::kNotFound, "handle", "the cache store has no such entry");
    return;
  }
  const nlohmann::json entry = nlohmann::json::parse(found->body);
  ImportBlocks import;
  import.blocks = blocksFromJson(entry.at("blocks")).value_or(std::vector<BlockKey>());
  import.model = ModelName(entry.at("model").get<std::string>());
  import.salt = entry.at("salt").get<uint64_t>();
  import.weights_version = WeightsVersion(entry.at("weights_version").get<uint64_t>());
  import.unchecked = faults().isActive(FaultKind::kUncheckedImport, absl::Now());
  const size_t count = import.blocks.size();
  const std::optional<absl::Time> usable_at = host_.import(std::move(import));
  if (!usable_at) {
    answerError(response, kConflict, ErrorCode::kConflict, "weights_version",
                "the blocks were computed with other weights");
    return;
  }
  sleepUnlessStopping(*usable_at - absl::Now());
  answerJson(response, {{"blocks", count}});
}

void EngineServer::takeOrder(const httplib::Request& request, httplib::Response& response) {
  const std::optional<EngineOrder> order = orderFromJson(bodyOf(request));
  const OrderOutcome outcome = order ? host_.order(*order) : OrderOutcome::kInvalid;
  switch (outcome) {
    case OrderOutcome::kDone:
      answerJson(response, {{"outcome", "done"}});
      return;
    case OrderOutcome::kLoading:
      answerJson(response, {{"outcome", "loading"}});
      return;
    case OrderOutcome::kFenced:
      answerError(response, kConflict, ErrorCode::kFenced, "fenced", "a later order was taken before");
      return;
    case OrderOutcome::kInvalid:
      answerError(response, kBadRequest, ErrorCode::kInvalidArgument, "order", "the order can't be done");
      return;
  }
}

}  // namespace quincewick::emulator
