// The platform's store as a run needs it: rows, changes since a version, and trouble for each gateway apart.
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

// What a gateway meets at the store.
struct StoreTrouble {
  bool refuses = false;        // 503 to everything
  bool is_silent = false;      // no answers
  bool is_slow = false;        // they take half a second longer
  bool loses_answers = false;  // writes are done and not answered
};

class Store {
 public:
  // `rendered`: a row's value as that gateway is to see it.
  using Rendered = std::function<std::string(const std::string& table, const std::string& key,
                                             const std::string& value, size_t gateway)>;

  // Listens for each gateway at a port of its own. `tells_era`: in each answer, as a store does that can be
  // restored from a copy.
  Store(boost::asio::io_context& reactor, reactor::TimerQueue& timers, size_t gateways, Rendered rendered,
        bool tells_era = true);

  Address addressFor(size_t gateway) const { return {"127.0.0.1", doors_[gateway]->port()}; }
  StoreTrouble& trouble(size_t gateway) { return troubles_[gateway]; }
  void put(const std::string& table, const std::string& key, const std::string& value);
  void remove(const std::string& table, const std::string& key);
  // Changes up to now can't be told any more.
  void forgetHistory() { forgotten_ = version_; }
  // Becomes the copy that was made so long ago, or was empty where there is none: versions are given out
  // again, and what gateways wrote since is lost. What others wrote they write anew at once.
  void goBack(absl::Duration ago);

 private:
  struct Row {
    std::string value;
    uint64_t version = 0;
    bool is_gone = false;
  };
  using Tables = std::map<std::string, std::map<std::string, Row>>;
  struct Copy {
    absl::Time made;
    Tables tables;
    uint64_t version = 0;
    uint64_t forgotten = 0;
  };
  struct Waiting {
    size_t gateway = 0;
    std::string table;
    uint64_t after = 0;
    reactor::SimpleHttpServer::Respond respond;
    reactor::TimerQueue::Key limit;
  };

  void take(size_t gateway, const HttpHead& question, const std::string& body,
            const reactor::SimpleHttpServer::Respond& respond);
  void answer(size_t gateway, const HttpHead& question, const std::string& body,
              const reactor::SimpleHttpServer::Respond& respond);
  reactor::SimpleHttpResponse readRows(size_t gateway, const std::string& target) const;
  reactor::SimpleHttpResponse write(const std::string& body);
  void follow(size_t gateway, const std::string& target, const reactor::SimpleHttpServer::Respond& respond);
  reactor::SimpleHttpResponse changes(size_t gateway, const std::string& table, uint64_t after) const;
  std::string printRow(size_t gateway, const std::string& table, const std::string& key,
                       const Row& row) const;
  void change(const std::string& table, const std::string& key, const std::string& value, bool is_gone);
  std::string tail() const;
  bool isGone(uint64_t version) const { return version < forgotten_ || version > version_; }
  void keepCopy();
  void answerWaiting(const std::function<bool(const Waiting&)>& is_due);

  reactor::TimerQueue& timers_;
  Rendered rendered_;
  std::vector<std::unique_ptr<reactor::SimpleHttpServer>> doors_;
  std::vector<StoreTrouble> troubles_;
  Tables tables_;
  uint64_t version_ = 1;
  uint64_t forgotten_ = 0;
  std::list<Waiting> waiting_;
  bool tells_era_;
  uint64_t era_ = 1;
  std::deque<Copy> copies_;  // in order
};

}  // namespace quincewick::soak
