// Records which software version began each stream, and finds it when a caller takes its stream up again:
// among the gateways, and in the store what may be found nowhere else (docs/design/software_versions.md).
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

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
  // Looks up the origin of a stream. Calls `on_result` once, perhaps before this returns, with nothing if no
  // origin is known for certain. Returns the number to pass to `cancel`.
  using ResultCallback = std::function<void(const std::optional<forwarding::StreamOrigin>& origin)>;
  uint64_t find(const forwarding::StreamKey& key, ResultCallback on_result);
  void cancel(uint64_t number);

 private:
  struct Waiting {
    forwarding::StreamKey key;
    ResultCallback on_result;
  };

  Result<void> receive(const NodeId& from, std::string_view payload);
  void execute(const forwarding::StreamOriginActions& actions);
  void handleLookup(const forwarding::StreamLookup& lookup);
  void readFromStore(uint64_t number);
  std::optional<forwarding::StreamOrigin> originIn(const forwarding::StoreRows& rows,
                                                   const forwarding::StreamKey& key);
  void noteNotRead(const forwarding::StreamKey& key, std::string_view why);
  void answer(uint64_t number, const std::optional<forwarding::StreamOrigin>& origin);
  void queueForStore(const forwarding::StreamRecord& record);
  void scheduleWrite();
  void writeToStore();
  void heartbeat();
  void updateMembers();
  void noticeNewPeers();
  void scheduleTick();

  Core& core_;
  PeerDirectory& directory_;
  PeerExchange& peers_;
  StoreClient reader_;
  StoreClient writer_;
  forwarding::StreamOrigins origins_;
  absl::btree_map<uint64_t, Waiting> waiting_;          // lookups by number
  absl::btree_map<std::string, std::string> unstored_;  // values of rows that wait to be written, by key
  size_t reads_under_way_ = 0;
  bool is_writing_ = false;
  absl::Time last_write_ = absl::InfinitePast();
  std::optional<size_t> peers_known_;  // at the last update of the members; nothing: not all were read yet
  reactor::TimerQueue::Key timer_;
  absl::Time timer_at_ = absl::InfiniteFuture();
};

}  // namespace quincewick::gateway
