// Connects nodes to the modelled platform: rate limits, delays, outages and lost answers in virtual time.
#pragma once

#include <absl/functional/any_invocable.h>

#include <cstdint>

#include "emulator/platform_model.h"
#include "simulation/event_queue.h"
#include "simulation/network_model.h"
#include "types/platform.h"

namespace quincewick::simulation {

// Calls of the platform in a run, by what they carry.
struct PlatformTraffic {
  uint64_t operations = 0;
  uint64_t bytes = 0;  // of requests and answers, by the size of their fields
};

class PlatformHost {
 public:
  using ReplyHandler = absl::AnyInvocable<void(PlatformReply)>;
  // Told of each table write that took effect, whatever became of its answer.
  using WriteHandler = absl::AnyInvocable<void(const TableWrite&)>;

  // The queue and the network must outlive the host.
  PlatformHost(EventQueue& queue, const NetworkModel& network, const emulator::PlatformSettings& settings)
      : queue_(queue), network_(network), model_(settings) {}

  // Carries the call out for a caller in `zone`; its reply comes through `handler`. A caller that is cut off
  // gets kUnavailable, one whose answer is lost kOutcomeUnknown, both after the adapter's time limit.
  void call(ZoneIndex zone, PlatformCall call, ReplyHandler handler);

  void setWriteHandler(WriteHandler handler) { on_write_ = std::move(handler); }

  emulator::PlatformModel& model() { return model_; }
  const PlatformTraffic& traffic() const { return traffic_; }
  void resetTraffic() { traffic_ = PlatformTraffic(); }

 private:
  void tellOfWrites(const PlatformRequest& request, const emulator::PlatformAnswer& answer);

  EventQueue& queue_;
  const NetworkModel& network_;
  emulator::PlatformModel model_;
  // Takes each transaction that the model carries out, so that its effect is known when the answer is lost.
  emulator::TableModel table_copy_;
  PlatformTraffic traffic_;
  WriteHandler on_write_;
};

}  // namespace quincewick::simulation
