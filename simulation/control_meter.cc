#include "simulation/control_meter.h"

#include <time.h>

#include "peer/envelope.h"

namespace quincewick::simulation {

uint64_t datagramOverhead(const NodeId& sender) {
  constexpr uint64_t kInternetHeaders = 28;
  peer::Envelope envelope;
  envelope.sender = sender;
  return kInternetHeaders + peer::encodeEnvelope(envelope).size() + peer::kMacSize;
}

double threadCpuSeconds() {
  constexpr double kSecondsPerNanosecond = 1e-9;
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * kSecondsPerNanosecond;
}

}  // namespace quincewick::simulation
