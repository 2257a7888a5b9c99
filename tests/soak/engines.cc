#include "engines.h"

#include <absl/strings/str_cat.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace quincewick::soak {
namespace {

constexpr size_t kEngines = 3;
constexpr size_t kConnectionsAtMost = 256;
constexpr absl::Duration kLoadTime = absl::Milliseconds(300);
constexpr absl::Duration kHeartbeat = absl::Milliseconds(400);
constexpr const char* kModel = "m";
constexpr const char* kInstanceId = "Quincewick-Instance-Id";

reactor::SimpleHttpResponse status(int status) {
  return {status, "application/json", "{}"};
}

}  // namespace

class Engines::Engine {
 public:
  Engine(boost::asio::io_context& reactor, reactor::TimerQueue& timers, History& history, Store& store,
         const uint64_t& named_version, std::string id, std::string zone)
      : timers_(timers),
        history_(history),
        store_(store),
        named_version_(named_version),
        id_(std::move(id)),
        zone_(std::move(zone)),
        started_(absl::Now()),
        server_(reactor, Address{"127.0.0.1", 0}, kConnectionsAtMost,
                [this](const HttpHead& question, const std::string& body,
                       const reactor::SimpleHttpServer::Respond& respond) {
                  reactor::SimpleHttpResponse answer = take(question, body);
                  answer.further_fields.push_back({kInstanceId, id_});
                  respond(answer);
                }) {
    beat();
  }

 private:
  reactor::SimpleHttpResponse take(const HttpHead& question, const std::string& body) {
    if (question.target == "/v1/order" && question.method == "POST") {
      return takeOrder(question, body);
    }
    if (question.target.starts_with("/v1/report")) {
      return {200, "application/json", printReport()};
    }
    return status(question.target.starts_with("/health") ? 200 : 404);
  }

  reactor::SimpleHttpResponse takeOrder(const HttpHead& question, const std::string& body) {
    constexpr bool allow_exceptions = false;
    const nlohmann::json order = nlohmann::json::parse(body, nullptr, allow_exceptions);
    const bool is_whole = order.is_object() && order.value("operation", "") == "version" &&
                          order.value("model", "") == kModel && order.contains("version") &&
                          order.contains("holder") && order.contains("fencingToken") &&
                          order["fencingToken"].is_number_unsigned();
    if (!is_whole) {
      return status(400);
    }
    history_.orders.push_back(
        {id_, order["holder"], order["fencingToken"].get<uint64_t>(), reactor::steadyNow()});
    const std::string* const target = findField(question.fields, "Quincewick-Target-Instance");
    if (target != nullptr && *target != id_) {
      return status(421);
    }
    const uint64_t version = order["version"];
    if (version > named_version_) {
      return status(400);
    }
    if (is_loading_ || order.value("expectedRevision", orders_taken_) != orders_taken_) {
      return status(409);
    }
    if (version == version_) {
      return status(200);
    }
    ++orders_taken_;
    is_loading_ = true;
    timers_.schedule(reactor::steadyNow() + kLoadTime, [this, version] {
      is_loading_ = false;
      version_ = version;
      putEntry();
    });
    return status(202);
  }

  std::string printModels() const {
    return absl::StrCat(R"("models":[{"name":")", kModel, R"(","version":)", version_, R"(,"adapters":[]}])");
  }

  std::string printReport() const {
    return absl::StrCat(R"({"stage":"colocated",)", printModels(), R"(,"busy":)",
                        is_loading_ ? "true" : "false", R"(,"sequence":)", orders_taken_, R"(,"born":)",
                        absl::ToUnixMillis(started_),
                        R"(,"queued":0,"running":0,"kvUsed":0,"kvTotal":1000,"handles":0})");
  }

  void beat() {
    putEntry();
    timers_.schedule(reactor::steadyNow() + kHeartbeat, [this] { beat(); });
  }

  void putEntry() {
    store_.put("servers", id_,
               absl::StrCat(R"({"service":")", kService, R"(","address":"127.0.0.1:)", server_.port(),
                            R"(","zone":")", zone_, R"(","slots":8,"state":"ready","born":)",
                            absl::ToUnixMillis(started_), R"(,"stage":"colocated","sequence":)", ++writes_,
                            ",", printModels(), "}"));
  }

  reactor::TimerQueue& timers_;
  History& history_;
  Store& store_;
  const uint64_t& named_version_;
  std::string id_;
  std::string zone_;
  absl::Time started_;
  uint64_t version_ = 1;
  uint64_t orders_taken_ = 0;
  uint64_t writes_ = 0;  // of its entry
  bool is_loading_ = false;
  reactor::SimpleHttpServer server_;
};

Engines::Engines(boost::asio::io_context& reactor, reactor::TimerQueue& timers, History& history,
                 Store& store, size_t zones)
    : store_(store) {
  for (size_t index = 0; index < kEngines; ++index) {
    engines_.push_back(std::make_unique<Engine>(reactor, timers, history, store, named_version_,
                                                absl::StrCat("e-", index + 1),
                                                absl::StrCat("z", index % zones)));
  }
}

Engines::~Engines() = default;

void Engines::nameWeights() {
  store_.put("op", absl::StrCat("version/", kModel),
             absl::StrCat(R"({"model":")", kModel, R"(","version":)", ++named_version_, "}"));
}

}  // namespace quincewick::soak
