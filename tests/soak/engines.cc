#include "engines.h"

#include <absl/strings/str_cat.h>

namespace quincewick::soak {

Engines::Engines(boost::asio::io_context& reactor, reactor::TimerQueue& timers, History& history,
                 Store& store, size_t zones, const EngineSettings& settings, uint64_t seed)
    : history_(history), store_(store), settings_(settings) {
  for (size_t index = 0; index < settings_.count; ++index) {
    engines_.push_back(std::make_unique<Engine>(reactor, timers, history, store, fleet_, settings_,
                                                absl::StrCat("e-", index + 1),
                                                absl::StrCat("z", index % zones), seed + index));
  }
}

void Engines::publishNextVersion() {
  ++fleet_.named_version;
  store_.put("op", absl::StrCat("version/", Engine::kModel),
             absl::StrCat(R"({"model":")", Engine::kModel, R"(","version":)", fleet_.named_version, "}"));
  history_.weights_namings.push_back({fleet_.named_version, reactor::steadyNow()});
}

}  // namespace quincewick::soak
