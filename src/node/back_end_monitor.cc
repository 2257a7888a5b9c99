#include "node/back_end_monitor.h"

#include <glog/logging.h>

#include <set>
#include <utility>
#include <variant>

namespace quincewick::node {
namespace {

constexpr absl::Duration kPollGranularity = absl::Milliseconds(20);

BackEnd fromMachine(const Machine& machine) {
  BackEnd back_end;
  back_end.id = BackEndId(machine.id);
  back_end.zone = machine.zone;
  back_end.address = machine.address;
  back_end.labels = machine.labels;
  back_end.state = machine.leaving ? BackEndState::kLeaving : BackEndState::kReady;
  back_end.kind = machine.kind == MachineKind::kEngine ? BackEndKind::kEngine : BackEndKind::kActionServer;
  return back_end;
}

}  // namespace

BackEndMonitor::BackEndMonitor(const BackEndMonitorOptions& options, platform::Platform& platform,
                               engine::EngineChannel& engines, RouterHost& router, BackEndHealth& health,
                               std::function<absl::Time()> clock)
    : options_(options),
      platform_(platform),
      engines_(engines),
      router_(router),
      health_(health),
      clock_(std::move(clock)) {}

BackEndMonitor::~BackEndMonitor() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void BackEndMonitor::start() {
  threads_.emplace_back([this] { readMachineListUntilStopped(); });
  for (size_t index = 0; index < options_.poll_threads; ++index) {
    threads_.emplace_back([this] { pollUntilStopped(); });
  }
}

std::vector<BackEnd> BackEndMonitor::actionServers() {
  absl::MutexLock lock(&mutex_);
  std::vector<BackEnd> ready;
  for (const auto& [id, server] : action_servers_) {
    if (server.state == BackEndState::kReady) {
      ready.push_back(server);
    }
  }
  return ready;
}

std::vector<BackEnd> BackEndMonitor::backEnds() {
  absl::MutexLock lock(&mutex_);
  std::vector<BackEnd> all;
  for (const auto& [id, watched] : watched_) {
    all.push_back(watched.back_end);
    if (!watched.answering) {
      all.back().state = BackEndState::kGone;
    }
  }
  for (const auto& [id, server] : action_servers_) {
    all.push_back(server);
  }
  return all;
}

size_t BackEndMonitor::answeringEngines() {
  absl::MutexLock lock(&mutex_);
  size_t count = 0;
  for (const auto& [id, watched] : watched_) {
    count += watched.answering ? 1 : 0;
  }
  return count;
}

bool BackEndMonitor::pauseFor(absl::Duration duration) {
  absl::MutexLock lock(&mutex_);
  return mutex_.AwaitWithTimeout(absl::Condition(&stopping_), duration);
}

void BackEndMonitor::readMachineListUntilStopped() {
  do {
    const PlatformResult result = platform_.call(MachineListRead{});
    if (const auto* list = std::get_if<MachineList>(&result)) {
      takeMachineList(*list);
    } else if (const auto* error = std::get_if<Error>(&result)) {
      // What is known stays in use: a list that can't be read takes nothing away.
      LOG(WARNING) << "event=machine_list_unread type=" << errorCodeName(error->code);
    }
  } while (!pauseFor(options_.machine_list_interval));
}

void BackEndMonitor::takeMachineList(const MachineList& list) {
  std::set<BackEndId> listed;
  std::vector<BackEnd> leaving;
  std::vector<BackEndId> gone;
  std::vector<BackEndId> engines;
  {
    absl::MutexLock lock(&mutex_);
    for (const Machine& machine : list.machines) {
      BackEnd back_end = fromMachine(machine);
      if (machine.kind == MachineKind::kActionServer) {
        listed.insert(back_end.id);
        action_servers_[back_end.id] = back_end;
      } else if (machine.kind == MachineKind::kEngine) {
        listed.insert(back_end.id);
        Watched& watched = watched_[back_end.id];
        back_end.incarnation = watched.back_end.incarnation;
        back_end.models = watched.back_end.models;
        const bool newly_leaving =
            back_end.state == BackEndState::kLeaving && watched.back_end.state != BackEndState::kLeaving;
        watched.back_end = back_end;
        if (newly_leaving && watched.answering) {
          leaving.push_back(back_end);
        }
      }
    }
    absl::erase_if(action_servers_, [&](const auto& entry) { return listed.count(entry.first) == 0; });
    absl::erase_if(watched_, [&](const auto& entry) {
      const bool remove = listed.count(entry.first) == 0 && !entry.second.polling;
      if (remove) {
        gone.push_back(entry.first);
      }
      return remove;
    });
    for (const auto& [id, watched] : watched_) {
      engines.push_back(id);
    }
  }
  health_.setEngines(engines);
  for (const BackEnd& engine : leaving) {
    LOG(INFO) << "event=engine_leaving engine=" << engine.id;
    router_.handle(routing::EngineUpserted{engine});
  }
  for (const BackEndId& engine : gone) {
    LOG(INFO) << "event=engine_gone engine=" << engine;
    router_.handle(routing::EngineRemoved{engine});
  }
}

void BackEndMonitor::pollUntilStopped() {
  while (true) {
    BackEnd engine;
    bool claimed = false;
    {
      absl::MutexLock lock(&mutex_);
      if (stopping_) {
        return;
      }
      claimed = claimDueEngine(engine);
    }
    if (claimed) {
      poll(engine);
      passOnHealth();
    } else if (pauseFor(kPollGranularity)) {
      return;
    }
  }
}

bool BackEndMonitor::claimDueEngine(BackEnd& engine) {
  const absl::Time now = clock_();
  for (auto& [id, watched] : watched_) {
    if (!watched.polling && watched.due <= now) {
      watched.polling = true;
      watched.due = now + options_.engine_poll_interval;
      engine = watched.back_end;
      return true;
    }
  }
  return false;
}

void BackEndMonitor::passOnHealth() {
  for (const BackEndHealth::Change& change : health_.takeChanges()) {
    LOG(WARNING) << "event=" << (change.ejected ? "engine_ejected" : "engine_readmitted")
                 << " engine=" << change.engine;
    router_.handle(routing::EngineEjectionChanged{change.engine, change.ejected});
  }
}

void BackEndMonitor::poll(const BackEnd& engine) {
  const absl::Time measured = clock_();
  const Result<engine::EngineReport> report = engines_.report(engine.address);
  if (report.has_value()) {
    takeReport(engine, report.value(), measured);
    readCacheEvents(engine);
  } else {
    takeFailure(engine);
  }
  absl::MutexLock lock(&mutex_);
  watched_[engine.id].polling = false;
}

void BackEndMonitor::takeReport(const BackEnd& engine, const engine::EngineReport& report,
                                absl::Time measured) {
  BackEnd current;
  bool newly_answering = false;
  {
    absl::MutexLock lock(&mutex_);
    Watched& watched = watched_[engine.id];
    watched.back_end.incarnation = report.load.incarnation;
    watched.back_end.models = report.models;
    newly_answering = !std::exchange(watched.answering, true);
    watched.failures = 0;
    current = watched.back_end;
  }
  if (newly_answering) {
    LOG(INFO) << "event=engine_answering engine=" << engine.id << " incarnation=" << report.load.incarnation;
  }
  router_.handle(routing::EngineUpserted{current});
  router_.handle(routing::LoadReported{engine.id, report.load, measured});
}

void BackEndMonitor::readCacheEvents(const BackEnd& engine) {
  const Sequence after = router_.resumeCacheEventsAfter(engine.id);
  const Result<engine::CacheEventPage> page =
      engines_.cacheEvents(engine.address, after, options_.cache_events_per_poll);
  if (page.has_value() && !page.value().events.empty()) {
    router_.handle(routing::CacheEventsRead{engine.id, page.value().incarnation, page.value().events});
  }
}

void BackEndMonitor::takeFailure(const BackEnd& engine) {
  bool lost = false;
  {
    absl::MutexLock lock(&mutex_);
    Watched& watched = watched_[engine.id];
    ++watched.failures;
    lost = watched.answering && watched.failures >= options_.failures_until_gone;
    if (lost) {
      watched.answering = false;
    }
  }
  if (lost) {
    LOG(WARNING) << "event=engine_lost engine=" << engine.id;
    router_.handle(routing::EngineRemoved{engine.id});
  }
}

}  // namespace quincewick::node
