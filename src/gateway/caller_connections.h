// All open connections of callers and of other gateways, within the process's limits on their number and on
// the bytes that they hold.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <memory>

#include "gateway/caller_connection.h"

namespace quincewick::gateway {

class CallerConnections {
 public:
  CallerConnections(Core& core, BackEndPool& pool);
  CallerConnections(const CallerConnections&) = delete;
  CallerConnections& operator=(const CallerConnections&) = delete;

  // `delegations`: null for a caller's connection. Closes another connection if there are too many, or the
  // new one if all others are served.
  void accept(reactor::Connection::Socket socket, Delegations* delegations);
  // `growing` holds more than there is room for. Closes other connections that are to give way first; returns
  // false if it is itself the next to do so. Called when no other connection is in the midst of its work.
  bool makeRoomFor(CallerConnection& growing);
  // Frees a descriptor, if one can be spared: the process has no more.
  void freeDescriptor();
  size_t size() const { return connections_.size(); }
  // On shutdown: closes those that are idle and have served a request.
  void closeIdle();

 private:
  bool closeLongestWithoutProgress();
  void shedSoon();
  // Closes connections until the rest holds no more than it may, but for `growing`. Returns false when it
  // comes to that one.
  bool shed(const CallerConnection* growing);

  Core& core_;
  BackEndPool& pool_;
  absl::flat_hash_map<CallerConnection*, std::shared_ptr<CallerConnection>> connections_;
  bool is_shed_pending_ = false;
};

}  // namespace quincewick::gateway
