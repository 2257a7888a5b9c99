// Streams that callers take up again, on a site in virtual time: at which software version they go on, and
// how many of them do. Gateways crash, start, are cut off from each other and read lists that lag.
#include <absl/strings/str_cat.h>
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <set>

#include "forwarding/stream_origins.h"
#include "tests/support/virtual_network.h"

namespace quincewick::forwarding {
namespace {

const ServiceName kService("s");
constexpr absl::Duration kMostWriteWait = absl::Milliseconds(200);  // between calls of the store
constexpr absl::Duration kStoreDelay = absl::Milliseconds(20);
constexpr absl::Duration kMostStreaming = absl::Seconds(2);  // from the first event to the break
constexpr absl::Duration kTick = absl::Milliseconds(10);
constexpr absl::Duration kMostViewDelay = absl::Seconds(2);  // until a gateway knows one that joined
constexpr absl::Duration kMaxPatience = absl::Seconds(5);    // of a caller

struct SiteSettings {
  size_t gateways = 7;
  size_t zones = 3;
  size_t versions = 2;
  size_t servers = 12;
  uint64_t seed = 1;
  double loss = 0;
  absl::Duration most_lag = absl::Seconds(3);      // of a gateway's list
  absl::Duration most_absence = absl::Seconds(3);  // before a caller takes its stream up
  size_t earlier_builds = 0;                       // gateways that don't know the messages
};

class StreamSite {
 public:
  explicit StreamSite(const SiteSettings& settings) : settings_(settings), network_(settings.seed) {
    network_.setFaults({.loss = settings.loss});
    network_.setLinkTest([this](const NodeId& from, const NodeId& to) {
      return is_cut_off_[indexOf(from)] == is_cut_off_[indexOf(to)];
    });
    for (size_t index = 0; index < settings.gateways; ++index) {
      gateways_.emplace_back();
      gateways_.back().lag = absl::Seconds(uniform() * absl::ToDoubleSeconds(settings.most_lag));
      start(index);
    }
    for (size_t server = 0; server < settings.servers; ++server) {
      addServer(server % settings.versions, absl::InfinitePast());
    }
  }

  size_t draw(size_t below) { return std::uniform_int_distribution<size_t>(0, below - 1)(network_.random()); }
  double uniform() { return std::uniform_real_distribution<double>(0, 1)(network_.random()); }
  void runFor(absl::Duration time) {
    const absl::Time end = network_.now() + time;
    while (network_.now() < end) {
      network_.runFor(kTick);
      for (size_t index = 0; index < gateways_.size(); ++index) {
        tick(index);
      }
    }
  }

  // Faults.
  void crash(size_t index) {
    gateways_[index].origins = nullptr;
    network_.detach(idOf(index));
  }
  // A gateway that joins knows all others; these learn of it one by one.
  void join() {
    const size_t index = settings_.gateways++;
    gateways_.emplace_back();
    start(index);
    for (size_t other = 0; other < index; ++other) {
      const absl::Duration delay = absl::Seconds(uniform() * absl::ToDoubleSeconds(kMostViewDelay));
      network_.schedule(network_.now() + delay, [this, other, index] {
        gateways_[other].members = std::max(gateways_[other].members, index + 1);
        if (isUp(other)) {
          gateways_[other].origins->setMembers(membersKnownTo(other));
        }
      });
    }
  }
  void start(size_t index) {
    Gateway& gateway = gateways_[index];
    gateway.members = settings_.gateways;
    const uint64_t first_number = network_.random()() / 2;
    gateway.origins = std::make_unique<StreamOrigins>(idOf(index), first_number);
    gateway.origins->setMembers(membersKnownTo(index));
    network_.attach(idOf(index), [this, index](const NodeId& from, const std::string& bytes) {
      receive(index, from, bytes);
    });
  }
  bool isUp(size_t index) const { return gateways_[index].origins != nullptr; }
  void setCutOff(size_t index, bool is_cut_off) { is_cut_off_[index] = is_cut_off; }
  void setStoreUp(bool is_up) { is_store_up_ = is_up; }
  void replaceServer(size_t index) {
    servers_[index].ended = network_.now();
    addServer(draw(settings_.versions), network_.now());
  }
  size_t servers() const { return servers_.size(); }

  // A caller's stream: begins at a gateway, breaks off, and is taken up at another one.
  void beginStream() {
    const size_t gateway = liveGateway();
    const std::optional<size_t> server = chooseServer(gateway, std::nullopt);
    ++attempted_;
    if (!server) {
      return;
    }
    ++begun_;
    const auto stream = std::make_shared<Stream>();
    stream->key = {TenantId("t"), absl::StrCat("attempt-", ++last_attempt_)};
    stream->began = network_.now();
    stream->software = servers_[*server].software;
    noteEvent(gateway, *stream, *server);
    const absl::Duration absence =
        uniform() < 0.5 ? absl::Milliseconds(5)
                        : absl::Seconds(uniform() * absl::ToDoubleSeconds(settings_.most_absence));
    const absl::Duration streaming = absl::Seconds(uniform() * absl::ToDoubleSeconds(kMostStreaming));
    network_.schedule(network_.now() + streaming + absence, [this, stream] { takeUp(stream); });
  }

  size_t mixed = 0;     // streams with events of two versions
  size_t taken_up = 0;  // while two servers of their version served
  size_t gone_on = 0;   // of those
  double begunShare() const {
    return attempted_ == 0 ? 1 : static_cast<double>(begun_) / static_cast<double>(attempted_);
  }
  double goneOnShare() const {
    return taken_up == 0 ? 1 : static_cast<double>(gone_on) / static_cast<double>(taken_up);
  }

 private:
  struct Gateway {
    std::unique_ptr<StreamOrigins> origins;  // null while it is down
    absl::Duration lag;
    size_t members = 0;  // that it knows: those of lower indexes
  };
  struct Server {
    SoftwareVersion software;
    absl::Time began;
    absl::Time ended = absl::InfiniteFuture();
  };
  struct Stream {
    StreamKey key;
    SoftwareVersion software;  // of its first event
    absl::Time began;
    std::set<std::string> versions;
  };
  struct Lookup {
    std::shared_ptr<Stream> stream;
    bool counts = false;
  };

  std::vector<routing::KeeperMember> membersKnownTo(size_t index) const {
    std::vector<routing::KeeperMember> members;
    for (size_t member = 0; member < gateways_[index].members; ++member) {
      members.push_back({idOf(member), 1, ZoneName(absl::StrCat("z", member % settings_.zones))});
    }
    return members;
  }
  static NodeId idOf(size_t index) { return NodeId(absl::StrCat("g", index)); }
  static size_t indexOf(const NodeId& id) { return std::stoul(id.value().substr(1)); }
  void addServer(size_t version, absl::Time began) {
    servers_.push_back({SoftwareVersion(absl::StrCat("v", version)), began});
  }

  size_t liveGateway() {
    size_t index = draw(settings_.gateways);
    while (!isUp(index)) {
      index = (index + 1) % settings_.gateways;
    }
    return index;
  }

  // A server that the gateway lists and that is there, of the version if one is given.
  std::optional<size_t> chooseServer(size_t gateway, const std::optional<SoftwareVersion>& software) {
    const absl::Time as_of = network_.now() - gateways_[gateway].lag;
    std::vector<size_t> servers;
    for (size_t index = 0; index < servers_.size(); ++index) {
      const Server& server = servers_[index];
      const bool is_listed = server.began <= as_of && as_of < server.ended;
      const bool is_there = network_.now() < server.ended;
      if (is_listed && is_there && (!software || server.software == *software)) {
        servers.push_back(index);
      }
    }
    return servers.empty() ? std::nullopt : std::optional(servers[draw(servers.size())]);
  }

  size_t serving(const SoftwareVersion& software, absl::Time since) const {
    size_t count = 0;
    for (const Server& server : servers_) {
      count += server.software == software && server.began <= since && network_.now() < server.ended ? 1 : 0;
    }
    return count;
  }

  void noteEvent(size_t gateway, Stream& stream, size_t server) {
    stream.versions.insert(servers_[server].software.value());
    StreamOriginActions actions;
    gateways_[gateway].origins->record({stream.key, {kService, servers_[server].software}}, kMaxPatience,
                                       network_.now(), actions);
    execute(gateway, actions);
  }

  void takeUp(const std::shared_ptr<Stream>& stream) {
    const size_t gateway = liveGateway();
    const bool counts = serving(stream->software, stream->began - settings_.most_lag) >= 2;
    taken_up += counts ? 1 : 0;
    StreamOriginActions actions;
    const uint64_t number = gateways_[gateway].origins->find(stream->key, network_.now(), actions);
    lookups_[{gateway, number}] = {stream, counts};
    execute(gateway, actions);
  }

  void execute(size_t gateway, const StreamOriginActions& actions) {
    for (const auto& outgoing : actions.messages) {
      network_.send(idOf(gateway), outgoing.to, encodeStreamOriginMessage(outgoing.message));
    }
    for (const StreamRecord& record : actions.to_store) {
      network_.schedule(network_.now() + kStoreDelay + uniform() * kMostWriteWait, [this, record] {
        if (is_store_up_) {
          store_[record.key.attempt_id] = record.origin;
        }
      });
    }
    for (const StreamLookup& lookup : actions.lookups) {
      finish(gateway, lookup);
    }
  }

  void finish(size_t gateway, const StreamLookup& lookup) {
    const auto found = lookups_.find({gateway, lookup.number});
    if (found == lookups_.end()) {
      return;  // its gateway has crashed since
    }
    const Lookup asking = found->second;
    lookups_.erase(found);
    if (lookup.is_contradictory || lookup.origin) {
      goOn(gateway, asking, lookup.is_contradictory ? std::nullopt : lookup.origin);
      return;
    }
    network_.schedule(network_.now() + kStoreDelay, [this, gateway, asking] {
      const auto row = store_.find(asking.stream->key.attempt_id);
      const bool is_read = is_store_up_ && row != store_.end() && isUp(gateway);
      goOn(gateway, asking, is_read ? std::optional(row->second) : std::nullopt);
    });
  }

  void goOn(size_t gateway, const Lookup& asking, const std::optional<StreamOrigin>& origin) {
    const std::optional<size_t> server = origin ? chooseServer(gateway, origin->software) : std::nullopt;
    if (!server) {
      return;
    }
    noteEvent(gateway, *asking.stream, *server);
    mixed += asking.stream->versions.size() > 1 ? 1 : 0;
    gone_on += asking.counts ? 1 : 0;
  }

  void tick(size_t index) {
    Gateway& gateway = gateways_[index];
    if (gateway.origins != nullptr && gateway.origins->nextWakeup() <= network_.now()) {
      StreamOriginActions actions;
      gateway.origins->onTick(network_.now(), actions);
      execute(index, actions);
    }
  }

  void receive(size_t index, const NodeId& from, const std::string& bytes) {
    if (index < settings_.earlier_builds) {
      return;
    }
    const auto message = decodeStreamOriginMessage(bytes);
    RC_ASSERT(message.has_value());
    StreamOriginActions actions;
    gateways_[index].origins->onMessage(from, message.value(), network_.now(), actions);
    execute(index, actions);
  }

  SiteSettings settings_;
  testing::VirtualNetwork network_;
  std::deque<Gateway> gateways_;
  std::map<size_t, bool> is_cut_off_;
  std::vector<Server> servers_;
  bool is_store_up_ = true;
  std::map<std::string, StreamOrigin> store_;
  std::map<std::pair<size_t, uint64_t>, Lookup> lookups_;
  size_t attempted_ = 0;
  size_t begun_ = 0;
  uint64_t last_attempt_ = 0;
};

void playStreams(StreamSite& site, absl::Duration time, size_t per_second) {
  const absl::Duration interval = absl::Seconds(1) / static_cast<int64_t>(per_second);
  for (absl::Duration played; played < time; played += interval) {
    site.beginStream();
    site.runFor(interval);
  }
}

// Guards against streams that hold events of two software versions.
TEST_CASE(
    "no stream goes on at another software version, whoever is dead, cut off, late or of another build") {
  CHECK(rc::check([] {
    SiteSettings settings;
    settings.gateways = *rc::gen::inRange<size_t>(1, 12);
    settings.zones = *rc::gen::inRange<size_t>(1, 5);
    settings.versions = *rc::gen::inRange<size_t>(2, 5);
    settings.servers = *rc::gen::inRange<size_t>(2, 16);
    settings.seed = *rc::gen::arbitrary<uint32_t>();
    settings.loss = *rc::gen::element(0.0, 0.05, 0.3);
    settings.earlier_builds = *rc::gen::inRange<size_t>(0, settings.gateways + 1);
    StreamSite site(settings);
    for (int phase = 0; phase < 6; ++phase) {
      for (size_t index = 1; index < settings.gateways; ++index) {
        site.setCutOff(index, site.uniform() < 0.3);
        if (site.uniform() < 0.3) {
          site.isUp(index) ? site.crash(index) : site.start(index);
        }
      }
      for (size_t index = 0; index < 3; ++index) {
        site.replaceServer(site.draw(site.servers()));
      }
      site.setStoreUp(site.uniform() < 0.7);
      playStreams(site, absl::Seconds(1), 40);
    }
    site.runFor(kMaxPatience);
    RC_ASSERT(site.mixed == 0);
  }));
}

// Guards against taken-up streams that go on far less often than new ones begin.
TEST_CASE("streams that callers take up go on, with one gateway dead and a third cut off from the others") {
  CHECK(rc::check([] {
    SiteSettings settings;
    settings.gateways = *rc::gen::inRange<size_t>(3, 16);
    settings.zones = *rc::gen::inRange<size_t>(1, 5);
    settings.versions = *rc::gen::inRange<size_t>(2, 5);
    settings.servers = 4 * settings.versions;
    settings.seed = *rc::gen::arbitrary<uint32_t>();
    settings.loss = *rc::gen::element(0.0, 0.01);
    const size_t dead = *rc::gen::inRange<size_t>(0, settings.gateways);
    StreamSite site(settings);
    playStreams(site, absl::Seconds(2), 60);
    site.crash(dead);
    std::set<size_t> cut_off;
    while (cut_off.size() < settings.gateways / 3) {
      cut_off.insert(site.draw(settings.gateways));
    }
    for (const size_t index : cut_off) {
      site.setCutOff(index, true);
    }
    playStreams(site, absl::Seconds(8), 60);
    site.runFor(kMaxPatience);
    RC_ASSERT(site.mixed == 0);
    RC_ASSERT(site.taken_up > 0);
    RC_ASSERT(site.goneOnShare() >= 0.95 * site.begunShare());
  }));
}

// Guards against records that are where nobody looks for them, as gateways know different members.
TEST_CASE("streams that callers take up go on while the number of gateways doubles") {
  CHECK(rc::check([] {
    SiteSettings settings;
    settings.gateways = *rc::gen::inRange<size_t>(2, 16);
    settings.zones = *rc::gen::inRange<size_t>(1, 5);
    settings.versions = 2;
    settings.servers = 8;
    settings.seed = *rc::gen::arbitrary<uint32_t>();
    settings.loss = *rc::gen::element(0.0, 0.01);
    const size_t joining = settings.gateways;
    const auto together = *rc::gen::arbitrary<bool>();
    StreamSite site(settings);
    playStreams(site, absl::Seconds(2), 60);
    for (size_t index = 0; index < joining; ++index) {
      site.join();
      playStreams(site, together ? absl::ZeroDuration() : absl::Milliseconds(200), 60);
    }
    playStreams(site, absl::Seconds(6), 60);
    site.runFor(kMaxPatience);
    RC_ASSERT(site.mixed == 0);
    RC_ASSERT(site.goneOnShare() >= 0.95 * site.begunShare());
  }));
}

}  // namespace
}  // namespace quincewick::forwarding
