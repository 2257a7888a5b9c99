// Records which software version began each stream, and finds it when a caller takes its stream up again:
// among the gateways, in the store what may be found nowhere else, and by the history of the service's
// versions (docs/design/software_versions.md).
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "forwarding/stream_origins.h"
#include "gateway/core.h"
#include "gateway/peer_directory.h"
#include "gateway/peer_exchange.h"
#include "gateway/store_client.h"

namespace quincewick::gateway {

class StreamOriginExchange {
 public:
  static constexpr const char* kTable = "gateway-streams";

  StreamOriginExchange(Core& core, PeerDirectory& directory, PeerExchange& peers);

  void start();

  // An event of the stream was forwarded. `lifetime`: how long a caller may take it up.
  void record(const forwarding::StreamRecord& record, absl::Duration lifetime);
  // Has the store keep a record. Calls `on_result` once, perhaps before this returns, with whether the store
  // has it: false also if that isn't known.
  using StoredCallback = std::function<void(bool is_stored)>;
  void store(const forwarding::StreamRecord& record, StoredCallback on_result);
  // The histories of the services' versions may have changed: has the store keep what this gateway began
  // before a service had several versions.
  void storeBegunAlone();
  // Whether the store took the last records.
  bool isStoreWritable() const { return is_store_writable_; }

  // Looks up the origin of a stream. Calls `on_result` once, perhaps before this returns. Returns the number
  // to pass to `cancel`.
  struct Found {
    std::optional<forwarding::StreamOrigin> origin;  // nothing: no record was found
    bool is_contradictory = false;                   // its records name different origins
  };
  using ResultCallback = std::function<void(const Found& found)>;
  uint64_t find(const forwarding::StreamKey& key, ResultCallback on_result);
  // A stream of the service that began in the time `window` before `asked`. `routes`: as of
  // forwarding::hashOfResumableRoutes.
  struct HistoryQuestion {
    forwarding::ServiceName service;
    uint64_t routes;
    absl::Duration window;
    absl::Time asked;
  };
  // Its origin, if the history of the service's versions proves it. Calls `on_result` and returns like
  // `find`.
  uint64_t findByHistory(const HistoryQuestion& question, ResultCallback on_result);
  void cancel(uint64_t number);

 private:
  struct Waiting {
    forwarding::StreamKey key;
    ResultCallback on_result;
  };
  struct WaitingForHistory {
    HistoryQuestion question;
    ResultCallback on_result;
  };
  // A row that waits to be written.
  struct Unstored {
    std::string value;
    std::vector<StoredCallback> on_result;
  };

  Result<void> receive(const NodeId& from, std::string_view payload);
  void execute(const forwarding::StreamOriginActions& actions);
  void handleLookup(const forwarding::StreamLookup& lookup);
  void readFromStore(uint64_t number);
  std::optional<forwarding::StreamOrigin> originIn(const forwarding::StoreRows& rows,
                                                   const forwarding::StreamKey& key);
  void noteNotRead(const forwarding::StreamKey& key, std::string_view why);
  void answer(uint64_t number, const Found& found);
  void readHistory(const forwarding::ServiceName& service);
  void answerByHistory(const forwarding::ServiceName& service, uint64_t last_number, StoreStatus status,
                       const forwarding::StoreRows& rows);
  void queueForStore(const forwarding::StreamRecord& record, StoredCallback on_result);
  absl::Duration awaitedWriteInterval() const;
  void scheduleWrite(absl::Duration interval);
  void writeToStore();
  void heartbeat();
  void updateMembers();
  void noticeNewPeers();
  void scheduleTick();

  // Numbers of lookups by record are lower.
  static constexpr uint64_t kFirstHistoryQuestion = uint64_t{1} << 63;

  Core& core_;
  PeerDirectory& directory_;
  PeerExchange& peers_;
  StoreClient reader_;
  StoreClient history_reader_;
  StoreClient writer_;
  forwarding::StreamOrigins origins_;
  absl::btree_map<uint64_t, Waiting> waiting_;                      // lookups by number
  absl::btree_map<uint64_t, WaitingForHistory> history_questions_;  // by number
  absl::flat_hash_set<forwarding::ServiceName> histories_read_;     // whose read is under way
  uint64_t last_history_question_ = kFirstHistoryQuestion;
  absl::btree_map<std::string, Unstored> unstored_;  // by key
  absl::flat_hash_set<forwarding::ServiceName> with_several_versions_;
  size_t reads_under_way_ = 0;
  bool is_writing_ = false;
  bool is_store_writable_ = true;
  reactor::TimerQueue::Key write_timer_;  // set while a write is due
  absl::Time write_due_ = absl::InfiniteFuture();
  absl::Time last_write_ = absl::InfinitePast();
  std::optional<size_t> peers_known_;  // at the last update of the members; nothing: not all were read yet
  reactor::TimerQueue::Key timer_;
  absl::Time timer_at_ = absl::InfiniteFuture();
};

}  // namespace quincewick::gateway
