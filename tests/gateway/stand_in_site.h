// A site on loopback for the gateway's tests: a store with rows, and servers that respond by script. It runs
// on its own thread.
#pragma once

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "reactor/connection.h"
#include "reactor/message_reader.h"
#include "reactor/timer_queue.h"

namespace quincewick::gateway {

// How a stand-in server handles one request.
struct Script {
  std::string answer;      // bytes to send
  bool closes = false;     // closes the connection after the response
  bool resets = false;     // resets the connection after the response
  bool is_silent = false;  // sends no response
  bool crashes = false;    // after the response, resets all connections and stops listening
};

// Listens at its own port and responds to each request by the handler, which runs on the site's thread.
class StandInServer {
 public:
  using Handler = std::function<Script(const HttpHead& head, const std::string& body)>;

  StandInServer(boost::asio::io_context& reactor, Handler handler)
      : handler_(std::move(handler)),
        listener_(reactor, Address{"127.0.0.1", 0},
                  [this](reactor::Connection::Socket socket) { accept(std::move(socket)); }) {}

  Address address() const { return {"127.0.0.1", listener_.port()}; }

 private:
  class ServerConnection final : public reactor::ConnectionHandler {
   public:
    ServerConnection(StandInServer& server, reactor::Connection::Socket socket)
        : server_(server),
          connection_(std::make_shared<reactor::Connection>(std::move(socket))),
          reader_(reactor::MessageKind::kRequest, {}) {}
    void start() { connection_->start(this); }
    void abort() { connection_->abort(); }

   private:
    void onBytes(std::string_view bytes) override {
      reader_.take(bytes);
      while (reader_.status() == reactor::ReadStatus::kDone) {
        const Script script = server_.handler_(reader_.head(), reader_.takeBody());
        connection_->send(script.answer);
        if (script.crashes) {
          server_.crash();
          return;
        }
        if (script.resets) {
          connection_->abort();
          return;
        }
        if (script.closes) {
          connection_->closeWhenSent();
          return;
        }
        reader_.next();
        reader_.take({});
      }
    }
    void onEnd(reactor::EndKind /*kind*/) override {}

    StandInServer& server_;
    std::shared_ptr<reactor::Connection> connection_;
    reactor::MessageReader reader_;
  };

  void crash() {
    listener_.close();
    for (const auto& connection : connections_) {
      connection->abort();
    }
  }

  void accept(reactor::Connection::Socket socket) {
    connections_.push_back(std::make_unique<ServerConnection>(*this, std::move(socket)));
    connections_.back()->start();
  }

  Handler handler_;
  std::vector<std::unique_ptr<ServerConnection>> connections_;
  reactor::Listener listener_;
};

inline std::string answerOf(int status, HeaderFields fields, const std::string& body) {
  fields.push_back({"Content-Length", absl::StrCat(body.size())});
  return printResponseHead(status, "Any", fields) + body;
}

// A request as a server received it.
struct Seen {
  std::string server;
  HttpHead head;
  std::string body;
};

class StandInSite {
 public:
  StandInSite() : work_(boost::asio::make_work_guard(reactor_)) {
    store_ = std::make_unique<StandInServer>(reactor_, [this](const HttpHead& head, const std::string& body) {
      return answerAsStore(head, body);
    });
    second_store_ =
        std::make_unique<StandInServer>(reactor_, [this](const HttpHead& head, const std::string& body) {
          recordSecondCall(head.target);
          return refusesSecond() ? Script{answerOf(503, {}, "")} : answerAsStore(head, body, true);
        });
    thread_ = std::thread([this] { reactor_.run(); });
  }
  ~StandInSite() {
    reactor_.stop();
    thread_.join();
  }
  StandInSite(const StandInSite&) = delete;
  StandInSite& operator=(const StandInSite&) = delete;

  Address storeAddress() const { return store_->address(); }
  // A second address of the same store, at which requests can be refused: see refuseSecond.
  Address secondStoreAddress() const { return second_store_->address(); }

  void setRow(const std::string& table, const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    rows_[table][key] = {value, ++version_};
  }

  void removeRow(const std::string& table, const std::string& key) {
    const std::lock_guard lock(mutex_);
    rows_[table].erase(key);
    ++version_;
  }

  // Writes that concern none of the site's rows.
  void writeElsewhere(uint64_t transactions) {
    const std::lock_guard lock(mutex_);
    version_ += transactions;
  }

  // Whether the store sends its era, which rises with each restore.
  void sendEra(bool sends_era) {
    const std::lock_guard lock(mutex_);
    sends_era_ = sends_era;
  }

  // The store's rows and version, as a copy that it can be restored from.
  void saveCopy() {
    const std::lock_guard lock(mutex_);
    copy_ = {rows_, version_};
  }

  // Restores the store from the copy, which is empty if none was saved: later writes are lost and their
  // versions assigned again.
  void restoreCopy() {
    const std::lock_guard lock(mutex_);
    rows_ = copy_.rows;
    version_ = copy_.version;
    ++era_;
  }

  // Snapshot reads of the table that the store has responded to.
  size_t snapshotReads(const std::string& table) const {
    const std::lock_guard lock(mutex_);
    const auto found = snapshot_reads_.find(table);
    return found == snapshot_reads_.end() ? 0 : found->second;
  }

  bool hasRows(const std::string& table) const {
    const std::lock_guard lock(mutex_);
    const auto found = rows_.find(table);
    return found != rows_.end() && !found->second.empty();
  }

  // The row's value; empty if there is none.
  std::string row(const std::string& table, const std::string& key) const {
    const std::lock_guard lock(mutex_);
    const auto found = rows_.find(table);
    const auto row = found == rows_.end() ? nullptr : &found->second;
    return row == nullptr || !row->contains(key) ? "" : row->at(key).value;
  }

  // Adds a server. `answers` maps each request to the response.
  void addServer(const std::string& id, std::function<Script(const Seen& seen)> answers,
                 const std::string& models = "[]", const std::string& software = "v1",
                 const std::string& service = "pool") {
    std::promise<void> done;
    boost::asio::post(reactor_, [&] {
      servers_.push_back(std::make_unique<StandInServer>(
          reactor_, [this, id, answers](const HttpHead& head, const std::string& body) {
            const Seen seen{id, head, body};
            const Script script = answers(seen);
            const std::lock_guard lock(mutex_);
            seen_.push_back(seen);
            return script;
          }));
      done.set_value();
    });
    done.get_future().wait();
    const Address address = servers_.back()->address();
    setRow("servers", id,
           absl::StrCat(R"({"service":")", service, R"(","address":")", address.host, ":", address.port,
                        R"(","zone":"z","slots":4,"state":"ready","version":")", software, R"(","models":)",
                        models, "}"));
  }

  // Sets whether the store responds with 503 at its second address.
  void refuseSecond(bool refuses) {
    const std::lock_guard lock(mutex_);
    refuses_second_ = refuses;
  }

  // Rows of servers read at the store's second address have this address in place of theirs.
  void replaceServersAtSecond(const Address& address) {
    const std::lock_guard lock(mutex_);
    second_server_address_ = address;
  }

  // Targets of the requests received at the store's second address.
  std::vector<std::string> secondCalls() const {
    const std::lock_guard lock(mutex_);
    return second_calls_;
  }

  std::vector<Seen> seen() const {
    const std::lock_guard lock(mutex_);
    return seen_;
  }

 private:
  struct Row {
    std::string value;
    uint64_t version = 0;
  };
  using Tables = std::map<std::string, std::map<std::string, Row>>;
  struct Copy {
    Tables rows;
    uint64_t version = 1;
  };

  bool refusesSecond() const {
    const std::lock_guard lock(mutex_);
    return refuses_second_;
  }

  void recordSecondCall(const std::string& target) {
    const std::lock_guard lock(mutex_);
    second_calls_.push_back(target);
  }

  static std::string parameter(const std::string& target, const std::string& name) {
    const size_t begin = target.find(name + "=");
    if (begin == std::string::npos) {
      return "";
    }
    const size_t value = begin + name.size() + 1;
    const std::string encoded = target.substr(value, target.find('&', value) - value);
    std::string decoded;
    for (size_t place = 0; place < encoded.size(); ++place) {
      if (encoded[place] == '%') {
        decoded += static_cast<char>(std::stoi(encoded.substr(place + 1, 2), nullptr, 16));
        place += 2;
      } else {
        decoded += encoded[place];
      }
    }
    return decoded;
  }

  // Writes all rows of `put` under one new version if all conditions hold, as the store's transactions do.
  Script write(const std::string& body) {
    const nlohmann::json transaction = nlohmann::json::parse(body);
    for (const auto& condition : transaction["expectedRevision"]) {
      const auto& table = rows_[condition["table"]];
      const auto row = table.find(condition["key"]);
      const uint64_t version = row == table.end() ? 0 : row->second.version;
      if (version != condition["ver"]) {
        return {answerOf(412, storeFields(), absl::StrCat(R"({"rows":[],"ver":1,"now_ms":)", clockMs(), "}")),
                false, false, false};
      }
    }
    ++version_;
    for (const auto& put : transaction["put"]) {
      std::string value;
      absl::Base64Unescape(put["value"].get<std::string>(), &value);
      rows_[put["table"]][put["key"]] = {value, version_};
    }
    return {
        answerOf(200, storeFields(), absl::StrCat(R"({"ver":)", version_, R"(,"now_ms":)", clockMs(), "}")),
        false, false, false};
  }

  // The store's clock: steady, and not that of the gateways.
  int64_t clockMs() const {
    return absl::ToInt64Milliseconds(absl::Seconds(1) + (reactor::steadyNow() - started_));
  }

  HeaderFields storeFields() const {
    return sends_era_ ? HeaderFields{{"Store-Era", absl::StrCat(era_)}} : HeaderFields{};
  }

  std::string valueFor(const std::string& table, const std::string& value, bool is_second) const {
    if (table != "servers" || !is_second || !second_server_address_) {
      return value;
    }
    nlohmann::json server = nlohmann::json::parse(value);
    server["address"] = absl::StrCat(second_server_address_->host, ":", second_server_address_->port);
    return server.dump();
  }

  Script answerAsStore(const HttpHead& head, const std::string& body, bool is_second = false) {
    const std::lock_guard lock(mutex_);
    if (head.target.starts_with("/v1/rows-tx")) {
      return write(body);
    }
    std::string rows;
    const bool is_read = head.target.starts_with("/v1/rows-get");
    const std::string limit = parameter(head.target, "limit");
    size_t room = limit.empty() ? SIZE_MAX : std::stoul(limit);
    bool has_more = false;
    for (const auto& [key, row] : rows_[parameter(head.target, "table")]) {
      const bool is_asked_for = is_read && key >= parameter(head.target, "from");
      has_more = has_more || (is_asked_for && room == 0);
      if (is_asked_for && room > 0) {
        --room;
        absl::StrAppend(&rows, rows.empty() ? "" : ",", R"({"table":")", parameter(head.target, "table"),
                        R"(","key":")", key, R"(","value":")",
                        absl::Base64Escape(valueFor(parameter(head.target, "table"), row.value, is_second)),
                        R"(","ver":)", row.version, "}");
      }
    }
    if (head.target.starts_with("/v1/rows-feed")) {
      return {answerOf(503, {}, ""), false, false, false};  // changes are seen by complete reads only
    }
    if (parameter(head.target, "from").empty()) {
      ++snapshot_reads_[parameter(head.target, "table")];
    }
    return {answerOf(200, storeFields(),
                     absl::StrCat(R"({"rows":[)", rows, R"(],"more":)", has_more ? "true" : "false",
                                  R"(,"ver":)", version_, R"(,"now_ms":)", clockMs(), "}")),
            false, false, false};
  }

  const absl::Time started_ = reactor::steadyNow();
  boost::asio::io_context reactor_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  mutable std::mutex mutex_;
  Tables rows_;
  uint64_t version_ = 0;
  Copy copy_;
  uint64_t era_ = 1;
  bool sends_era_ = false;
  std::map<std::string, size_t> snapshot_reads_;  // by table
  bool refuses_second_ = false;
  std::optional<Address> second_server_address_;
  std::vector<Seen> seen_;
  std::vector<std::string> second_calls_;
  std::unique_ptr<StandInServer> store_;
  std::unique_ptr<StandInServer> second_store_;
  std::vector<std::unique_ptr<StandInServer>> servers_;
  std::thread thread_;
};

}  // namespace quincewick::gateway
