// The faults of one stand-in: what is wrong now, and for how long.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "types/error.h"

namespace quincewick::emulator {

enum class FaultKind : uint8_t {
  kCrash,            // connections are cut; after `duration` it is back, empty
  kPause,            // nothing moves and nothing is answered for `duration`
  kSlow,             // everything takes `factor` times as long
  kDropEvents,       // cache events are lost
  kDuplicateEvents,  // a share of stream events is sent twice
  kLateEvents,       // a share of stream events is sent after the next one
  kCutStreams,       // a share of stream events is preceded by a cut; the engine goes on
  kCrossedAnswers,   // a share of answers is another request's
  kGarbledAnswers,   // a share of answers is not what the protocol allows
  kLateAnswers,      // a share of answers comes `delay` late
  kLoseAnswers,      // a share of calls takes effect, and the connection is cut
  kOutage,           // every call is refused as unavailable
  kCut,              // callers of some zones or nodes can't reach it
  kUncheckedImport,  // an engine takes imported blocks without looking at their weights
};

// The name in files and admin calls, such as "drop_events".
std::string_view faultKindName(FaultKind kind);
std::optional<FaultKind> faultKindFromName(std::string_view name);
// All names, separated by commas.
std::string faultKindNames();

struct Fault {
  FaultKind kind = FaultKind::kPause;
  absl::Duration duration = absl::InfiniteDuration();  // from its start
  double factor = 1;                                   // kSlow
  double share = 1;                                    // of events or answers, 0 to 1
  uint64_t count = 0;                                  // strikes that many times at most; 0: no bound
  absl::Duration delay = absl::Seconds(1);             // kLateAnswers
  bool keep_cache = false;                             // kCrash: the cache outlives the process
  std::vector<std::string> zones;                      // kCut, by the header X-Zone
  std::vector<std::string> nodes;                      // kCut, by the header X-Node

  friend bool operator==(const Fault&, const Fault&) = default;
};

// Reads {"kind", "for_seconds", "factor", "share", "count", "delay_seconds", "keep_cache", "zones", "nodes"}.
// Unknown fields and values out of range are kInvalidArgument.
Result<Fault> faultFromJson(const nlohmann::json& json);
nlohmann::json faultToJson(const Fault& fault);

// The active faults. Thread-safe.
class FaultBoard {
 public:
  explicit FaultBoard(uint64_t seed) : seed_(seed) {}

  void add(Fault fault, absl::Time now);
  void clear();
  // The faults that are active at `now`.
  std::vector<Fault> active(absl::Time now);
  bool isActive(FaultKind kind, absl::Time now);
  // Whether a fault of this kind hits now; uses up its count.
  bool strikes(FaultKind kind, absl::Time now);
  // The same, with the fault that hit.
  bool strikes(FaultKind kind, absl::Time now, Fault& hit);
  // The product of the factors of the active kSlow faults.
  double slowdown(absl::Time now);
  // Whether a kCut fault keeps this zone or node away.
  bool isCutOff(std::string_view zone, std::string_view node, absl::Time now);
  // When the next fault ends; infinite if none does.
  absl::Time nextEnd();

 private:
  struct Entry {
    Fault fault;
    absl::Time ends_at;
    uint64_t strikes_left = 0;
  };

  void dropEnded(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const uint64_t seed_;
  absl::Mutex mutex_;
  std::vector<Entry> entries_ ABSL_GUARDED_BY(mutex_);
  uint64_t choices_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace quincewick::emulator
