// Nodes of a site that run the membership protocol over a virtual network.
#pragma once

#include <absl/time/time.h>
#include <time.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "membership/membership_protocol.h"
#include "tests/support/virtual_network.h"

namespace quincewick::membership::testing {

using quincewick::testing::VirtualNetwork;

// Observes the actions of a node, for measurements.
using ActionObserver = std::function<void(const NodeId& node, const MembershipAction& action)>;

class VirtualSite {
 public:
  // `zones` zones of `nodes_per_zone` nodes, none started. The platform's list names them all.
  VirtualSite(uint32_t zones, uint32_t nodes_per_zone, uint64_t seed, MembershipSettings settings = {})
      : network_(seed), settings_(settings) {
    for (uint32_t zone = 0; zone < zones; ++zone) {
      for (uint32_t node = 0; node < nodes_per_zone; ++node) {
        addPlace(zone);
      }
    }
    network_.setLinkTest([this](const NodeId& from, const NodeId& to) { return connected(from, to); });
  }

  // Adds a place for a node; the platform's list doesn't name it until listAll().
  NodeId addPlace(uint32_t zone) {
    const NodeId id("node-" + std::to_string(places_.size()));
    Place place;
    place.self = {id, ZoneName("zone-" + std::to_string(zone)),
                  RegionName("region-" + std::to_string(zone / 3)),
                  Address{"10.0.0." + std::to_string(places_.size() % 250), 7400}, Incarnation(0)};
    places_.emplace(id, std::move(place));
    return id;
  }
  void listAll() {
    for (const auto& [id, place] : places_) {
      listed_.insert(id);
    }
  }
  // Names a machine in the list that does not exist.
  void listGhost(const std::string& name, uint32_t zone) {
    ghosts_.push_back({name,
                       MachineKind::kNode,
                       ZoneName("zone-" + std::to_string(zone)),
                       RegionName("region-0"),
                       Address{"10.9.9.9", 7400},
                       {},
                       false});
  }
  void setPlatformUp(bool up) { platform_up_ = up; }

  void start(const NodeId& id) {
    Place& place = places_.at(id);
    const bool forgets_clock = place.life % 2 == 1;  // every other restart comes up with an old incarnation
    ++place.life;
    place.self.incarnation = Incarnation(forgets_clock ? 1 : 10 * place.life);
    place.protocol = std::make_unique<MembershipProtocol>(settings_, place.self, network_.now());
    place.paused = false;
    network_.attach(id, [this, id](const NodeId& from, const std::string& bytes) {
      handle(id, MessageReceived{from, bytes});
    });
    const absl::Duration phase = absl::Milliseconds(absl::Uniform(network_.random(), 0, 200));
    network_.schedule(network_.now() + phase, [this, id, life = place.life] { tick(id, life); });
  }
  void startAll() {
    for (const auto& [id, place] : places_) {
      start(id);
    }
  }
  void crash(const NodeId& id) {
    network_.detach(id);
    places_.at(id).protocol.reset();
  }
  void pause(const NodeId& id) {
    places_.at(id).paused = true;
    network_.pause(id);
  }
  // Pauses the node together with its network: what is sent to it is lost.
  void freeze(const NodeId& id) {
    places_.at(id).paused = true;
    network_.pause(id, 0);
  }
  void resume(const NodeId& id) {
    Place& place = places_.at(id);
    place.paused = false;
    network_.resume(id);
    tick(id, place.life);
  }
  // Each set of zones can only talk within itself; zones in no set talk to all that are in none.
  void cutZones(std::set<ZoneName> apart) { zones_apart_ = std::move(apart); }
  // These nodes can talk only to each other.
  void cutNodes(std::set<NodeId> apart) { nodes_apart_ = std::move(apart); }
  // These two nodes can't talk to each other, though both reach all others.
  void cutLink(const NodeId& left, const NodeId& right) { cut_link_ = {left, right}; }
  bool connected(const NodeId& from, const NodeId& to) const {
    const auto left = places_.find(from);
    const auto right = places_.find(to);
    const bool link_cut = cut_link_ == std::pair(from, to) || cut_link_ == std::pair(to, from);
    if (left == places_.end() || right == places_.end() || link_cut) {
      return false;
    }
    return zones_apart_.contains(left->second.self.zone) == zones_apart_.contains(right->second.self.zone) &&
           nodes_apart_.contains(from) == nodes_apart_.contains(to);
  }

  void handle(const NodeId& id, const MembershipEvent& event) {
    Place& place = places_.at(id);
    if (!place.protocol || place.paused) {
      return;
    }
    const absl::Duration started = threadTime();
    const std::vector<MembershipAction> actions =
        place.protocol->handle(event, network_.now(), network_.random());
    handling_time_ += threadTime() - started;
    for (const MembershipAction& action : actions) {
      carryOut(id, action);
    }
  }
  // Processor time spent inside the protocol by all nodes together; for measurements only.
  absl::Duration handlingTime() const { return handling_time_; }

  std::vector<NodeId> ids() const {
    std::vector<NodeId> all;
    for (const auto& [id, place] : places_) {
      all.push_back(id);
    }
    return all;
  }
  bool isRunning(const NodeId& id) const { return places_.at(id).protocol != nullptr; }
  bool isPaused(const NodeId& id) const { return places_.at(id).paused; }
  const MembershipProtocol& protocol(const NodeId& id) const { return *places_.at(id).protocol; }
  VirtualNetwork& network() { return network_; }
  void setObserver(ActionObserver observer) { observer_ = std::move(observer); }

  // What is wrong with the view of a running node, or nothing: every connected running node must be usable
  // (or leaving, when it is), every other one not.
  std::string complaintAbout(const NodeId& viewer) const {
    const MembershipProtocol& view = protocol(viewer);
    for (const auto& [id, place] : places_) {
      const bool runs = place.protocol && !place.paused && connected(viewer, id);
      const bool leaves = runs && place.protocol->self().state != MemberState::kAlive;
      const Member* member = view.find(id);
      const MemberState state = member == nullptr ? MemberState::kListed : member->record.state;
      if (view.isUsable(id) != (runs && !leaves)) {
        return viewer.value() + " sees " + id.value() + " as " + std::string(memberStateName(state)) +
               (runs ? ", but it runs" : ", but it doesn't run") + (leaves ? " and leaves" : "");
      }
    }
    return "";
  }
  // The first complaint of any node, or nothing when all agree with the truth.
  std::string complaint() const {
    for (const auto& [id, place] : places_) {
      if (place.protocol && !place.paused) {
        const std::string text = complaintAbout(id);
        if (!text.empty()) {
          return text;
        }
      }
    }
    return "";
  }
  // Runs until there is no complaint, or the time is over; returns the last complaint.
  std::string settle(absl::Duration limit) {
    const absl::Time end = network_.now() + limit;
    while (!complaint().empty() && network_.now() < end) {
      network_.runFor(absl::Milliseconds(500));
    }
    return complaint();
  }

 private:
  struct Place {
    SelfDescription self;
    std::unique_ptr<MembershipProtocol> protocol;
    uint64_t life = 0;
    bool paused = false;
  };

  static absl::Duration threadTime() {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return absl::DurationFromTimespec(time);
  }

  void tick(const NodeId& id, uint64_t life) {
    Place& place = places_.at(id);
    if (!place.protocol || place.paused || place.life != life) {
      return;
    }
    handle(id, Tick{});
    // A node that resumes has a second chain of ticks for a moment: only the due one goes on.
    const absl::Time next = place.protocol->nextWakeup();
    network_.schedule(next, [this, id, life, next] {
      const Place& later = places_.at(id);
      if (later.protocol && later.life == life && later.protocol->nextWakeup() == next) {
        tick(id, life);
      }
    });
  }

  void carryOut(const NodeId& id, const MembershipAction& action) {
    if (observer_) {
      observer_(id, action);
    }
    if (const auto* message = std::get_if<SendToPeer>(&action)) {
      network_.send(id, message->to, message->bytes);
    }
    if (std::holds_alternative<ReadMachineList>(action) && platform_up_) {
      network_.schedule(network_.now() + absl::Milliseconds(50),
                        [this, id] { handle(id, MachineListReceived{machineList()}); });
    }
  }

  MachineList machineList() const {
    MachineList list;
    for (const NodeId& id : listed_) {
      const SelfDescription& self = places_.at(id).self;
      list.machines.push_back(
          {id.value(), MachineKind::kNode, self.zone, self.region, self.address, {}, false});
    }
    list.machines.insert(list.machines.end(), ghosts_.begin(), ghosts_.end());
    return list;
  }

  VirtualNetwork network_;
  MembershipSettings settings_;
  std::map<NodeId, Place> places_;
  std::set<NodeId> listed_;
  std::vector<Machine> ghosts_;
  bool platform_up_ = true;
  std::set<ZoneName> zones_apart_;
  std::set<NodeId> nodes_apart_;
  std::pair<NodeId, NodeId> cut_link_;
  ActionObserver observer_;
  absl::Duration handling_time_;
};

}  // namespace quincewick::membership::testing
