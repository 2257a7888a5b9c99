// Keeps idle HTTP connections to back ends for reuse.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/container/btree_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>
#include <httplib.h>

#include <memory>
#include <vector>

#include "engine/caller_identity.h"
#include "types/back_end.h"

namespace quincewick::engine {

// Thread-safe. A client serves one request at a time: take one, use it, give it back unless its connection
// broke.
class ClientPool {
 public:
  ClientPool(absl::Duration connect_timeout, absl::Duration read_timeout, const CallerIdentity& identity)
      : connect_timeout_(connect_timeout), read_timeout_(read_timeout), headers_(identityHeaders(identity)) {}

  // An idle client of that address, or a new one, which connects when first used.
  std::unique_ptr<httplib::Client> take(const Address& address);

  void giveBack(const Address& address, std::unique_ptr<httplib::Client> client);

 private:
  std::unique_ptr<httplib::Client> makeClient(const Address& address) const;

  absl::Duration connect_timeout_;
  absl::Duration read_timeout_;
  httplib::Headers headers_;
  absl::Mutex mutex_;
  absl::btree_map<Address, std::vector<std::unique_ptr<httplib::Client>>> idle_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace quincewick::engine
