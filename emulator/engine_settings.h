// What an emulated engine costs and how much it holds.
#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace quincewick::emulator {

// Constants of one kind of engine. Shared by all engines of a site; one token is one character of prompt.
struct EngineSettings {
  uint32_t block_size = 4096;            // tokens in a cached block
  uint32_t cache_capacity_blocks = 512;  // blocks that fit into the engine's memory
  uint32_t maximum_running = 32;         // requests in the batch
  uint32_t maximum_waiting = 256;        // requests queued at the engine; more are refused
  uint32_t maximum_models = 4;           // sets of weights that fit
  uint32_t prefill_chunk_tokens = 2048;  // prompt tokens computed in one step, at most
  absl::Duration prefill_per_token = absl::Microseconds(20);
  absl::Duration step_base = absl::Milliseconds(15);            // of a step, whatever the batch holds
  absl::Duration step_per_request = absl::Microseconds(400);    // added for each decoding request
  absl::Duration transfer_per_block = absl::Milliseconds(4);    // export or import of one block
  absl::Duration load_report_period = absl::Milliseconds(200);  // reports show the state at the last multiple
  absl::Duration cache_event_delay = absl::Milliseconds(300);   // until an event can be read
  double cache_event_loss = 0.0;                                // share of events that never appear
  uint32_t cache_event_log = 1024;                              // events kept for readers

  friend bool operator==(const EngineSettings&, const EngineSettings&) = default;
};

}  // namespace quincewick::emulator
