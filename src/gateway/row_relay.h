// Answers peers' questions after the rows that this gateway reads from the store, so that a zone needs one
// reader. A question is held until there is something to tell.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <string>

#include "forwarding/row_cache.h"
#include "gateway/core.h"
#include "gateway/peer_directory.h"
#include "gateway/relay_messages.h"
#include "gateway/whole_answers.h"
#include "reactor/simple_http_server.h"

namespace quincewick::gateway {

class RowRelay {
 public:
  RowRelay(Core& core, PeerDirectory& peers) : core_(core), peers_(peers) {}

  // Listens at the address for peers; false: it can't be bound.
  bool listen(const Address& address);
  // The port that it listens at.
  uint16_t port() const { return server_->port(); }
  // Answers about the table from this cache, which outlives the relay.
  void offer(const std::string& table, const forwarding::RowCache* cache);
  // The table's cache took something in: whoever waits for that is answered.
  void tell(const std::string& table);
  // Whether this gateway reads, and so answers.
  void setAnswering(bool answers) { answers_ = answers; }
  // This gateway reads no more: whoever waits is sent away.
  void sendAway();

 private:
  struct Held {
    RelayQuestion question;
    bool wants_packed = false;
    NodeId asker;
    Sequence sequence;  // of the sealed question
    absl::Time came;
    reactor::SimpleHttpServer::Respond respond;
    reactor::TimerQueue::Key wait;
  };

  void takeQuestion(const HttpHead& head, const std::string& body,
                    const reactor::SimpleHttpServer::Respond& respond);
  void hold(Held held);
  void answerWaitingForWhole();
  // Whether the answer is a large table as a whole, of which only so many go out at once.
  bool isLargeWhole(const Held& held) const;
  RelayAnswer answerWithoutRows(const Held& held, absl::Time now) const;
  std::string plainAnswer(const Held& held, absl::Time now) const;
  std::string packedAnswer(const Held& held, absl::Time now);
  const std::string& packedRowsFor(const RelayQuestion& question);
  bool hasNews(const RelayQuestion& question) const;
  void answer(Held& held);
  void refuse(const reactor::SimpleHttpServer::Respond& respond, int status) const;

  Core& core_;
  PeerDirectory& peers_;
  std::unique_ptr<reactor::SimpleHttpServer> server_;
  absl::flat_hash_map<std::string, const forwarding::RowCache*> caches_;  // by table
  std::list<Held> held_;
  std::list<Held> waiting_for_whole_;
  WholeAnswers whole_answers_;
  // Rows packed for those who know all up to `after`, of the table as it is now.
  struct Packed {
    uint64_t after = 0;
    uint64_t version = 0;
    std::string bytes;
  };
  absl::flat_hash_map<std::string, std::deque<Packed>> packed_;  // by table
  bool answers_ = false;
};

}  // namespace quincewick::gateway
