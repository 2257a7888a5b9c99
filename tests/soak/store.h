// A stand-in for the platform's store: rows, changes since a version, and faults per gateway.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "reactor/simple_http_server.h"
#include "reactor/timer_queue.h"

namespace quincewick::soak {

// Faults that a gateway gets from the store.
struct StoreFaults {
  bool refuses = false;          // responds 503 to everything
  bool is_silent = false;        // no responses
  bool is_slow = false;          // responses are delayed by half a second
  bool drops_responses = false;  // writes are executed without a response
};

class Store {
 public:
  // Returns a row's value as this gateway is to see it.
  using RenderValue = std::function<std::string(const std::string& table, const std::string& key,
                                                const std::string& value, size_t gateway)>;

  // Listens on a separate port per gateway. `sends_era`: sends the era with each response, as a store does
  // that can be restored from a copy.
  Store(boost::asio::io_context& reactor, reactor::TimerQueue& timers, size_t gateways,
        RenderValue render_value, bool sends_era = true);

  Address addressFor(size_t gateway) const { return {"127.0.0.1", servers_[gateway]->port()}; }
  StoreFaults& faults(size_t gateway) { return faults_[gateway]; }
  void put(const std::string& table, const std::string& key, const std::string& value);
  void remove(const std::string& table, const std::string& key);
  // Drops the change history: requests for changes since an earlier version get 410.
  void dropChangeHistory() { oldest_kept_version_ = version_; }
  // Restores the copy made `ago`, or an empty store if there is none: versions are assigned again, and later
  // writes of gateways are lost. The rows of other writers are written again at once.
  void restoreCopy(absl::Duration ago);
  // The same, without the rows of other writers until writeLostRows.
  void restoreCopyOnly(absl::Duration ago);
  // Writes again the rows of other writers that the restores lost and that weren't written since.
  void writeLostRows();
  // The row's value; empty if there is none.
  std::string value(const std::string& table, const std::string& key) const;

 private:
  struct Row {
    std::string value;
    uint64_t version = 0;
    bool is_deleted = false;
  };
  using Tables = std::map<std::string, std::map<std::string, Row>>;
  struct Copy {
    absl::Time made;
    Tables tables;
    uint64_t version = 0;
    uint64_t oldest_kept_version = 0;
  };
  struct LongPoll {
    size_t gateway = 0;
    std::string table;
    uint64_t after = 0;
    reactor::SimpleHttpServer::Respond respond;
    reactor::TimerQueue::Key timeout_timer;
  };

  void handleRequest(size_t gateway, const HttpHead& request, const std::string& body,
                     const reactor::SimpleHttpServer::Respond& respond);
  void dispatch(size_t gateway, const HttpHead& request, const std::string& body,
                const reactor::SimpleHttpServer::Respond& respond);
  reactor::SimpleHttpResponse readRows(size_t gateway, const std::string& target) const;
  reactor::SimpleHttpResponse write(const std::string& body);
  void longPoll(size_t gateway, const std::string& target, const reactor::SimpleHttpServer::Respond& respond);
  reactor::SimpleHttpResponse changesSince(size_t gateway, const std::string& table, uint64_t after) const;
  std::string printRow(size_t gateway, const std::string& table, const std::string& key,
                       const Row& row) const;
  void writeRow(const std::string& table, const std::string& key, const std::string& value, bool is_deleted);
  std::string printVersionAndTime() const;
  bool isUnavailable(uint64_t version) const { return version < oldest_kept_version_ || version > version_; }
  void saveCopy();
  void completeLongPolls(const std::function<bool(const LongPoll&)>& is_due);

  reactor::TimerQueue& timers_;
  RenderValue render_value_;
  std::vector<std::unique_ptr<reactor::SimpleHttpServer>> servers_;
  std::vector<StoreFaults> faults_;
  Tables tables_;
  uint64_t version_ = 1;
  uint64_t oldest_kept_version_ = 0;
  std::list<LongPoll> long_polls_;
  bool sends_era_;
  uint64_t era_ = 1;
  std::deque<Copy> copies_;  // in order of time
  Tables lost_tables_;       // before the first restore since writeLostRows
  uint64_t restored_version_ = 0;
};

}  // namespace quincewick::soak
