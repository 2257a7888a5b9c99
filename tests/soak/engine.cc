#include "engine.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

namespace quincewick::soak {
namespace {

constexpr absl::Duration kHeartbeat = absl::Milliseconds(400);
constexpr absl::Duration kFirstLateExecution = absl::Seconds(2);  // of an order without a response
constexpr uint64_t kLateExecutionSpreadMs = 6000;
constexpr size_t kQueuedPerSlot = 3;
constexpr uint32_t kDefaultUrgency = 5;
constexpr const char* kInstanceId = "Quincewick-Instance-Id";
constexpr const char* kWeightVersions = "Quincewick-Weight-Versions";
constexpr int kEventsPerStream = 8;

std::string headerValue(const HttpHead& head, const char* name) {
  const std::string* const value = findField(head.fields, name);
  return value == nullptr ? "" : *value;
}

std::optional<int64_t> headerNumber(const HttpHead& head, const char* name) {
  int64_t number = 0;
  return absl::SimpleAtoi(headerValue(head, name), &number) ? std::optional(number) : std::nullopt;
}

}  // namespace

Engine::Engine(boost::asio::io_context& reactor, reactor::TimerQueue& timers, History& history, Store& store,
               EngineFleet& fleet, const EngineSettings& settings, std::string id, std::string zone,
               uint64_t seed)
    : timers_(timers),
      history_(history),
      store_(store),
      fleet_(fleet),
      settings_(settings),
      id_(std::move(id)),
      zone_(std::move(zone)),
      started_(absl::Now()),
      random_(seed),
      listener_(reactor, Address{"127.0.0.1", 0}, [this](reactor::Connection::Socket socket) {
        connections_.push_back(std::make_shared<EngineConnection>(
            std::move(socket), [this](const ConnectionPointer& connection, const HttpHead& head,
                                      const std::string& body) { handle(connection, head, body); }));
        connections_.back()->start();
      }) {
  heartbeat();
}

Engine::~Engine() = default;

void Engine::handle(const ConnectionPointer& connection, const HttpHead& head, const std::string& body) {
  const HeaderFields fields = {{kInstanceId, id_}, {"Content-Type", "application/json"}};
  if (head.target == "/v1/order" && head.method == "POST") {
    handleOrder(connection, head, body);
  } else if (head.target.starts_with("/v1/report")) {
    connection->respond(200, fields, printReport());
  } else if (head.target.starts_with("/health")) {
    connection->respond(200, fields, "{}");
  } else {
    handleRequest(connection, head);
  }
}

void Engine::handleOrder(const ConnectionPointer& connection, const HttpHead& head, const std::string& body) {
  constexpr bool allow_exceptions = false;
  const HeaderFields fields = {{kInstanceId, id_}, {"Content-Type", "application/json"}};
  const nlohmann::json order = nlohmann::json::parse(body, nullptr, allow_exceptions);
  const bool is_complete = order.is_object() && order.value("operation", "") == "version" &&
                           order.value("model", "") == kModel && order.contains("version") &&
                           order.contains("holder") && order.contains("fencingToken") &&
                           order["fencingToken"].is_number_unsigned();
  if (!is_complete) {
    connection->respond(400, fields, "{}");
    return;
  }
  history_.orders.push_back(
      {id_, order["holder"], order["fencingToken"].get<uint64_t>(), reactor::steadyNow()});
  const uint64_t version = order["version"];
  const uint64_t expected_orders = order.value("expectedRevision", accepted_orders_);
  const bool is_lost = static_cast<double>(random_() % 1000) < settings_.lost_orders * 1000;
  if (!is_lost) {
    connection->respond(executeOrder(head, version, expected_orders), fields, "{}");
    return;
  }
  const absl::Duration after =
      kFirstLateExecution + absl::Milliseconds(static_cast<int64_t>(random_() % kLateExecutionSpreadMs));
  timers_.schedule(reactor::steadyNow() + after,
                   [this, head, version, expected_orders] { executeOrder(head, version, expected_orders); });
}

int Engine::executeOrder(const HttpHead& head, uint64_t version, uint64_t expected_orders) {
  const std::string target = headerValue(head, "Quincewick-Target-Instance");
  if (!target.empty() && target != id_) {
    return 421;
  }
  if (version > fleet_.named_version) {
    return 400;
  }
  if (is_loading_ || expected_orders != accepted_orders_) {
    return 409;
  }
  if (version == version_) {
    return 200;
  }
  beginLoad(version);
  return 202;
}

void Engine::beginLoad(uint64_t version) {
  ++accepted_orders_;
  is_loading_ = true;
  for (const auto& [key, work] : std::exchange(queue_, {})) {
    reject(*work, 503);
  }
  if (prompt_ != nullptr) {
    reject(*std::exchange(prompt_, nullptr), 503);
  }
  ++fleet_.loads;
  const double slowdown =
      std::max(1.0, static_cast<double>(fleet_.loads) / static_cast<double>(settings_.full_speed_loads));
  timers_.schedule(reactor::steadyNow() + settings_.load_time * slowdown, [this, version] {
    --fleet_.loads;
    is_loading_ = false;
    version_ = version;
    writeRow();
  });
}

void Engine::handleRequest(const ConnectionPointer& connection, const HttpHead& head) {
  Arrival arrival;
  arrival.attempt = headerValue(head, "Quincewick-Attempt-Id");
  arrival.back_end = id_;
  arrival.back_end_started = started_;
  arrival.service = kService;
  arrival.tenant = headerValue(head, "Quincewick-Tenant");
  arrival.at = reactor::steadyNow();
  const auto work = std::make_shared<Work>();
  work->connection = connection;
  work->attempt = arrival.attempt;
  work->arrival = history_.arrivals.size();
  work->is_heedless = static_cast<double>(random_() % 1000) < settings_.heedless * 1000;
  work->next_event = static_cast<int>(headerNumber(head, "Last-Event-Id").value_or(0)) + 1;
  history_.arrivals.push_back(arrival);
  const auto expected = headerNumber(head, "Quincewick-Expected-Version");
  const bool is_misdirected = headerValue(head, "Quincewick-Target-Instance") != id_ ||
                              (expected && *expected != static_cast<int64_t>(version_));
  if (is_misdirected || is_loading_ || queue_.size() >= kQueuedPerSlot * settings_.slots) {
    reject(*work, is_misdirected ? 421 : 503);
    return;
  }
  const QueueKey key = {headerNumber(head, "Quincewick-Request-Priority").value_or(kDefaultUrgency),
                        ++arrivals_};
  if (const auto deadline = headerNumber(head, "Quincewick-Deadline-Ms")) {
    work->deadline = reactor::steadyNow() + absl::Milliseconds(*deadline);
    timers_.schedule(work->deadline, [this, key, work] {
      if (queue_.erase(key) > 0) {
        reject(*work, 503);
      }
    });
  }
  queue_.emplace(key, work);
  processNextPrompt();
}

void Engine::reject(const Work& work, int status) {
  work.connection->respond(status,
                           {{"Quincewick-Not-Executed", "1"},
                            {"Quincewick-Attempt-Id", work.attempt},
                            {kInstanceId, id_},
                            {kWeightVersions, absl::StrCat(version_)}},
                           "");
}

// Work on a prompt stops at the request's deadline, which counts as run.
void Engine::processNextPrompt() {
  while (prompt_ == nullptr && running_ < settings_.slots && !queue_.empty()) {
    const auto work = queue_.begin()->second;
    queue_.erase(queue_.begin());
    if (isDropped(*work)) {
      continue;
    }
    prompt_ = work;
    const absl::Duration spread = settings_.prefill * (static_cast<double>(random_() % 1000) / 1000);
    const absl::Time done = reactor::steadyNow() + settings_.prefill / 2 + spread;
    timers_.schedule(done, [this, work, done] {
      if (prompt_ == work) {
        prompt_ = nullptr;
        if (done >= work->deadline) {
          history_.arrivals[work->arrival].ran = true;
          work->connection->respond(504, {{"Quincewick-Attempt-Id", work->attempt}, {kInstanceId, id_}}, "");
        } else if (!isDropped(*work)) {
          begin(work, done);
        }
        processNextPrompt();
      }
    });
  }
}

void Engine::begin(const std::shared_ptr<Work>& work, absl::Time at) {
  history_.begins.push_back({work->attempt, id_, version_, at, history_.arrivals[work->arrival].at});
  Arrival& arrival = history_.arrivals[work->arrival];
  arrival.ran = true;
  arrival.status = 200;
  arrival.signature = absl::StrCat(id_, ".", work->attempt, ".", work->arrival);
  ++running_;
  work->connection->beginStream({{"Quincewick-Response-Signature", arrival.signature},
                                 {"Quincewick-Attempt-Id", work->attempt},
                                 {kInstanceId, id_},
                                 {kWeightVersions, absl::StrCat(version_)}});
  sendEvents(work);
}

void Engine::sendEvents(const std::shared_ptr<Work>& work) {
  const bool is_late = reactor::steadyNow() >= work->deadline;
  if (is_late || work->next_event > kEventsPerStream || isDropped(*work)) {
    --running_;
    if (is_late) {
      history_.arrivals[work->arrival].is_aborted = true;
      work->connection->breakOff();
    } else if (work->next_event > kEventsPerStream) {
      work->connection->endStream();
    }
    processNextPrompt();
    return;
  }
  work->connection->sendEvent(
      absl::StrCat("id: ", work->next_event, "\ndata: ", work->attempt, " ", work->next_event, " v1\n\n"));
  ++work->next_event;
  timers_.schedule(reactor::steadyNow() + settings_.event_interval, [this, work] { sendEvents(work); });
}

std::string Engine::printModels() const {
  return absl::StrCat(R"("models":[{"name":")", kModel, R"(","version":)", version_, R"(,"adapters":[]}])");
}

std::string Engine::printReport() const {
  return absl::StrCat(R"({"stage":"colocated",)", printModels(), R"(,"busy":)",
                      is_loading_ ? "true" : "false", R"(,"sequence":)", accepted_orders_, R"(,"born":)",
                      absl::ToUnixMillis(started_), R"(,"queued":)", queue_.size(), R"(,"running":)",
                      running_, R"(,"kvUsed":0,"kvTotal":1000,"handles":0})");
}

void Engine::heartbeat() {
  std::erase_if(connections_, [](const auto& connection) { return !connection->isOpen(); });
  writeRow();
  timers_.schedule(reactor::steadyNow() + kHeartbeat, [this] { heartbeat(); });
}

void Engine::writeRow() {
  store_.put("servers", id_,
             absl::StrCat(R"({"service":")", kService, R"(","address":"127.0.0.1:)", listener_.port(),
                          R"(","zone":")", zone_, R"(","version":"v1","slots":)", settings_.slots,
                          R"(,"state":"ready","born":)", absl::ToUnixMillis(started_),
                          R"(,"stage":"colocated","sequence":)", ++row_writes_, ",", printModels(), "}"));
}

}  // namespace quincewick::soak
