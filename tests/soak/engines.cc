#include "engines.h"

#include <absl/strings/str_cat.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace quincewick::soak {
namespace {

constexpr size_t kEngineCount = 3;
constexpr size_t kMaxConnections = 256;
constexpr absl::Duration kLoadTime = absl::Milliseconds(300);
constexpr absl::Duration kHeartbeat = absl::Milliseconds(400);
constexpr const char* kModel = "m";
constexpr const char* kInstanceId = "Quincewick-Instance-Id";

reactor::SimpleHttpResponse emptyResponse(int status) {
  return {status, "application/json", "{}"};
}

}  // namespace

class Engines::Engine {
 public:
  Engine(boost::asio::io_context& reactor, reactor::TimerQueue& timers, History& history, Store& store,
         const uint64_t& target_version, std::string id, std::string zone)
      : timers_(timers),
        history_(history),
        store_(store),
        target_version_(target_version),
        id_(std::move(id)),
        zone_(std::move(zone)),
        started_(absl::Now()),
        server_(reactor, Address{"127.0.0.1", 0}, kMaxConnections,
                [this](const HttpHead& request, const std::string& body,
                       const reactor::SimpleHttpServer::Respond& respond) {
                  reactor::SimpleHttpResponse answer = handleRequest(request, body);
                  answer.further_fields.push_back({kInstanceId, id_});
                  respond(answer);
                }) {
    heartbeat();
  }

 private:
  reactor::SimpleHttpResponse handleRequest(const HttpHead& request, const std::string& body) {
    if (request.target == "/v1/order" && request.method == "POST") {
      return handleOrder(request, body);
    }
    if (request.target.starts_with("/v1/report")) {
      return {200, "application/json", printReport()};
    }
    return emptyResponse(request.target.starts_with("/health") ? 200 : 404);
  }

  reactor::SimpleHttpResponse handleOrder(const HttpHead& request, const std::string& body) {
    constexpr bool allow_exceptions = false;
    const nlohmann::json order = nlohmann::json::parse(body, nullptr, allow_exceptions);
    const bool is_complete = order.is_object() && order.value("operation", "") == "version" &&
                             order.value("model", "") == kModel && order.contains("version") &&
                             order.contains("holder") && order.contains("fencingToken") &&
                             order["fencingToken"].is_number_unsigned();
    if (!is_complete) {
      return emptyResponse(400);
    }
    history_.orders.push_back(
        {id_, order["holder"], order["fencingToken"].get<uint64_t>(), reactor::steadyNow()});
    const std::string* const target = findField(request.fields, "Quincewick-Target-Instance");
    if (target != nullptr && *target != id_) {
      return emptyResponse(421);
    }
    const uint64_t version = order["version"];
    if (version > target_version_) {
      return emptyResponse(400);
    }
    if (is_loading_ || order.value("expectedRevision", accepted_orders_) != accepted_orders_) {
      return emptyResponse(409);
    }
    if (version == version_) {
      return emptyResponse(200);
    }
    ++accepted_orders_;
    is_loading_ = true;
    timers_.schedule(reactor::steadyNow() + kLoadTime, [this, version] {
      is_loading_ = false;
      version_ = version;
      writeRow();
    });
    return emptyResponse(202);
  }

  std::string printModels() const {
    return absl::StrCat(R"("models":[{"name":")", kModel, R"(","version":)", version_, R"(,"adapters":[]}])");
  }

  std::string printReport() const {
    return absl::StrCat(R"({"stage":"colocated",)", printModels(), R"(,"busy":)",
                        is_loading_ ? "true" : "false", R"(,"sequence":)", accepted_orders_, R"(,"born":)",
                        absl::ToUnixMillis(started_),
                        R"(,"queued":0,"running":0,"kvUsed":0,"kvTotal":1000,"handles":0})");
  }

  void heartbeat() {
    writeRow();
    timers_.schedule(reactor::steadyNow() + kHeartbeat, [this] { heartbeat(); });
  }

  void writeRow() {
    store_.put("servers", id_,
               absl::StrCat(R"({"service":")", kService, R"(","address":"127.0.0.1:)", server_.port(),
                            R"(","zone":")", zone_, R"(","slots":8,"state":"ready","born":)",
                            absl::ToUnixMillis(started_), R"(,"stage":"colocated","sequence":)",
                            ++row_writes_, ",", printModels(), "}"));
  }

  reactor::TimerQueue& timers_;
  History& history_;
  Store& store_;
  const uint64_t& target_version_;
  std::string id_;
  std::string zone_;
  absl::Time started_;
  uint64_t version_ = 1;
  uint64_t accepted_orders_ = 0;
  uint64_t row_writes_ = 0;  // of its row in the store
  bool is_loading_ = false;
  reactor::SimpleHttpServer server_;
};

Engines::Engines(boost::asio::io_context& reactor, reactor::TimerQueue& timers, History& history,
                 Store& store, size_t zones)
    : store_(store) {
  for (size_t index = 0; index < kEngineCount; ++index) {
    engines_.push_back(std::make_unique<Engine>(reactor, timers, history, store, target_version_,
                                                absl::StrCat("e-", index + 1),
                                                absl::StrCat("z", index % zones)));
  }
}

Engines::~Engines() = default;

void Engines::publishNextVersion() {
  store_.put("op", absl::StrCat("version/", kModel),
             absl::StrCat(R"({"model":")", kModel, R"(","version":)", ++target_version_, "}"));
}

}  // namespace quincewick::soak
