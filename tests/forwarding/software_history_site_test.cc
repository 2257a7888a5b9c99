// Streams that callers take up after all gateways were killed, on a site in virtual time: what the store
// keeps is all that is left. Lists lag, gateways are cut off from the store, versions come, go and come back,
// the store is restored from a copy, and the route moves to another service and back.
#include <absl/strings/str_cat.h>
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>

#include "forwarding/software_history.h"
#include "tests/support/virtual_network.h"

namespace quincewick::forwarding {
namespace {

const ServiceName kService("s");
constexpr absl::Duration kTick = absl::Milliseconds(50);
constexpr absl::Duration kMostListLag = absl::Seconds(2);
constexpr absl::Duration kGoneAfter = absl::Seconds(5);
constexpr absl::Duration kMostStoreDelay = absl::Milliseconds(60);
constexpr absl::Duration kMemberInterval = absl::Milliseconds(250);
constexpr absl::Duration kMaxHold = absl::Milliseconds(100);
constexpr absl::Duration kMostStreaming = absl::Seconds(4);
constexpr absl::Duration kMostAbsence = absl::Seconds(8);
constexpr absl::Duration kMostServedUnlisted = absl::Seconds(25);  // by a server that left the list
constexpr absl::Duration kWindow = absl::Seconds(15);              // in which a stream that is taken up began

struct SiteSettings {
  size_t gateways = 5;
  size_t versions = 2;
  uint64_t seed = 1;
  bool is_new = true;
  bool has_memory = false;  // gateways that live tell what they began
};

class HistorySite {
 public:
  explicit HistorySite(const SiteSettings& settings) : settings_(settings), network_(settings.seed) {
    gateways_.resize(settings.gateways);
    for (size_t index = 0; index < settings.gateways; ++index) {
      start(index);
    }
    addServers(0);
  }

  size_t draw(size_t below) { return std::uniform_int_distribution<size_t>(0, below - 1)(network_.random()); }
  double uniform() { return std::uniform_real_distribution<double>(0, 1)(network_.random()); }
  absl::Duration upTo(absl::Duration most) { return uniform() * most; }

  void runFor(absl::Duration time) {
    const absl::Time end = network_.now() + time;
    while (network_.now() < end) {
      network_.runFor(kTick);
      for (size_t index = 0; index < gateways_.size(); ++index) {
        readList(index);
        writeHistory(index);
        storeBegunAlone(index);
      }
    }
  }

  void start(size_t index) {
    gateways_[index] = std::make_unique<Gateway>();
    gateways_[index]->life = ++lives_;
    gateways_[index]->lag = upTo(kMostListLag);
  }
  void kill(size_t index) { gateways_[index] = nullptr; }
  void killAll() {
    for (auto& gateway : gateways_) {
      gateway = nullptr;
    }
  }
  void startAll() {
    for (size_t index = 0; index < gateways_.size(); ++index) {
      start(index);
    }
  }
  bool isUp(size_t index) const { return gateways_[index] != nullptr; }
  void setCutOff(size_t index, bool is_cut_off) {
    if (isUp(index)) {
      gateways_[index]->is_cut_off = is_cut_off;
    }
  }
  void setStoreUp(bool is_up) { is_store_up_ = is_up; }
  void setMostWriteDelay(absl::Duration most) { most_write_delay_ = most; }
  void saveCopy() { copy_ = {row_, row_version_, records_}; }
  void restoreCopy() {
    row_ = copy_.row;
    row_version_ = copy_.row_version;
    records_ = copy_.records;
    ++era_;
  }
  // The route leads to the service, or to another one.
  void moveRoute() { route_moves_.push_back(network_.now()); }
  void addServers(size_t version) {
    for (int count = 0; count < 2; ++count) {
      servers_.push_back({SoftwareVersion(absl::StrCat("v", version)), network_.now()});
    }
  }
  // The version's servers leave the list at once and serve on for a while.
  void removeServers(size_t version) {
    for (Server& server : servers_) {
      if (server.software == SoftwareVersion(absl::StrCat("v", version)) &&
          server.unlisted == absl::InfiniteFuture()) {
        server.unlisted = network_.now();
        server.ended = network_.now() + upTo(kMostServedUnlisted);
      }
    }
  }

  // A stream breaks off after a while, or with its gateway, and is taken up once.
  void beginStream(bool names_attempt) {
    const size_t index = draw(gateways_.size());
    if (!isUp(index)) {
      return;
    }
    const bool is_here = leadsHere(configurationOf(*gateways_[index]));
    const std::optional<SoftwareVersion> software =
        is_here ? chooseServer(index, std::nullopt) : std::optional(kOfOtherService);
    const bool begins = software && (is_here || areRoutesRecorded(*gateways_[index]));
    if (!begins) {
      return;
    }
    const auto stream = std::make_shared<Stream>();
    stream->number = ++last_stream_;
    stream->names_attempt = names_attempt;
    stream->software = *software;
    stream->gateway = index;
    stream->life = gateways_[index]->life;
    absl::Duration held = absl::ZeroDuration();
    if (gateways_[index]->histories.hasSeveral(kService, clock())) {
      const absl::Duration delay = upTo(kMostStoreDelay);
      held = reachesStore(index) ? delay : kMaxHold;
      writeRecord(stream, delay);
    }
    network_.schedule(network_.now() + held, [this, stream] { forwardFirstEvent(stream); });
  }

  size_t crossed = 0;   // streams that went on at another version
  size_t taken_up = 0;  // while servers of the version are listed everywhere
  size_t gone_on = 0;   // of those
  double goneOnShare() const {
    return taken_up == 0 ? 1 : static_cast<double>(gone_on) / static_cast<double>(taken_up);
  }

 private:
  inline static const SoftwareVersion kOfOtherService{"other"};

  struct Copy {
    SoftwareHistory row;
    uint64_t row_version = 0;
    std::map<uint64_t, SoftwareVersion> records;
  };
  struct Server {
    SoftwareVersion software;
    absl::Time began;
    absl::Time unlisted = absl::InfiniteFuture();
    absl::Time ended = absl::InfiniteFuture();
  };
  struct Stream;
  struct Gateway {
    uint64_t life = 0;
    SoftwareHistories histories;
    absl::Duration lag;
    absl::Time list_as_of = absl::InfinitePast();
    bool is_cut_off = false;
    bool is_writing = false;
    std::map<SoftwareVersion, absl::Time> last_listed;
    std::optional<uint64_t> era;
    bool had_several = false;  // versions
    std::vector<std::shared_ptr<Stream>> begun;
  };
  struct Stream {
    uint64_t number = 0;
    bool names_attempt = false;
    SoftwareVersion software;
    size_t gateway = 0;
    uint64_t life = 0;  // of the gateway
  };

  absl::Duration clock() { return network_.now() - absl::UnixEpoch(); }
  bool isAlive(const Stream& stream) const {
    return isUp(stream.gateway) && gateways_[stream.gateway]->life == stream.life;
  }
  bool reachesStore(size_t index) const { return is_store_up_ && !gateways_[index]->is_cut_off; }

  void readList(size_t index) {
    if (isUp(index) && reachesStore(index)) {
      gateways_[index]->list_as_of = network_.now() - gateways_[index]->lag;
    }
  }

  // Each move of the route is a version of the configuration.
  uint64_t configurationOf(const Gateway& gateway) const {
    return static_cast<uint64_t>(
        std::upper_bound(route_moves_.begin(), route_moves_.end(), gateway.list_as_of) -
        route_moves_.begin());
  }
  static bool leadsHere(uint64_t configuration) { return configuration % 2 == 0; }
  static uint64_t hashOfRoutes(uint64_t configuration) { return leadsHere(configuration) ? 1 : 2; }
  // Streams that begin before any reader has recorded that the route moved are a limit of the design.
  bool areRoutesRecorded(const Gateway& gateway) const {
    return row_.routes.configuration.value() >= configurationOf(gateway);
  }

  void writeRecord(const std::shared_ptr<Stream>& stream, absl::Duration delay) {
    network_.schedule(network_.now() + delay, [this, stream] {
      if (isAlive(*stream) && reachesStore(stream->gateway)) {
        records_[stream->number] = stream->software;
      }
    });
  }

  void storeBegunAlone(size_t index) {
    if (!isUp(index)) {
      return;
    }
    Gateway& gateway = *gateways_[index];
    const bool has_several = gateway.histories.hasSeveral(kService, clock());
    if (has_several && !gateway.had_several) {
      for (const auto& stream : gateway.begun) {
        writeRecord(stream, upTo(kMemberInterval) + upTo(kMostStoreDelay));
      }
    }
    gateway.had_several = has_several;
  }

  SoftwareHistories::Versions listedBy(const Gateway& gateway) const {
    SoftwareHistories::Versions versions;
    for (const Server& server : servers_) {
      if (server.began <= gateway.list_as_of && gateway.list_as_of < server.unlisted) {
        versions.insert(server.software);
      }
    }
    return versions;
  }

  void writeHistory(size_t index) {
    if (!isUp(index) || !reachesStore(index) || gateways_[index]->is_writing) {
      return;
    }
    Gateway& gateway = *gateways_[index];
    readRow(gateway);
    SoftwareHistories::Observation observation;
    observation.listed = listedBy(gateway);
    observation.configuration = ConfigurationVersion(configurationOf(gateway));
    observation.routes = hashOfRoutes(configurationOf(gateway));
    observation.era = gateway.era;
    observation.is_complete = settings_.is_new && era_ == 1;
    for (const SoftwareVersion& software : observation.listed) {
      gateway.last_listed[software] = network_.now();
    }
    for (const auto& [software, at] : gateway.last_listed) {
      if (network_.now() < at + kGoneAfter) {
        observation.recent.insert(software);
      }
    }
    const auto next = gateway.histories.nextWrite(kService, observation, clock());
    if (!next) {
      return;
    }
    gateway.is_writing = true;
    network_.schedule(network_.now() + upTo(most_write_delay_), [this, index, life = gateway.life, next] {
      const bool is_same = isUp(index) && gateways_[index]->life == life;
      if (is_store_up_ && next->row_version == row_version_) {
        row_ = next->history;
        ++row_version_;
      }
      if (is_same) {
        gateways_[index]->is_writing = false;
        readRow(*gateways_[index]);
      }
    });
  }

  void readRow(Gateway& gateway) {
    gateway.era = era_;
    if (row_version_ > 0) {
      gateway.histories.noteRow(kService, row_, row_version_, clock());
    }
  }

  // The version of a listed server that is there, of the version if one is given.
  std::optional<SoftwareVersion> chooseServer(size_t index, const std::optional<SoftwareVersion>& software) {
    const Gateway& gateway = *gateways_[index];
    std::vector<SoftwareVersion> choices;
    for (const Server& server : servers_) {
      const bool is_listed = server.began <= gateway.list_as_of && gateway.list_as_of < server.unlisted;
      const bool is_allowed =
          software ? server.software == *software : gateway.histories.mayBegin(kService, server.software);
      if (is_listed && is_allowed && network_.now() < server.ended) {
        choices.push_back(server.software);
      }
    }
    return choices.empty() ? std::nullopt : std::optional(choices[draw(choices.size())]);
  }

  void forwardFirstEvent(const std::shared_ptr<Stream>& stream) {
    if (isAlive(*stream)) {
      gateways_[stream->gateway]->begun.push_back(stream);
      network_.schedule(network_.now() + upTo(kMostStreaming) + upTo(kMostAbsence),
                        [this, stream] { takeUp(stream); });
    }
  }

  bool isListedEverywhere(const SoftwareVersion& software) const {
    return std::any_of(servers_.begin(), servers_.end(), [&](const Server& server) {
      return server.software == software && server.began + kMostListLag <= network_.now() &&
             server.unlisted == absl::InfiniteFuture();
    });
  }

  // Otherwise it has just started, and no new stream begins there either.
  bool knowsServers(size_t index) const { return gateways_[index]->list_as_of != absl::InfinitePast(); }

  void takeUp(const std::shared_ptr<Stream>& stream) {
    const size_t index = draw(gateways_.size());
    if (!isUp(index)) {
      return;  // the caller finds no gateway
    }
    const bool counts = isListedEverywhere(stream->software) && knowsServers(index);
    const absl::Time asked = network_.now();
    const uint64_t life = gateways_[index]->life;
    network_.schedule(asked + upTo(kMostStoreDelay), [this, stream, index, life, asked, counts] {
      if (!isUp(index) || gateways_[index]->life != life) {
        return;  // the caller's connection broke: it gets no answer, and may ask again
      }
      taken_up += counts ? 1 : 0;
      if (!reachesStore(index)) {
        return;
      }
      std::optional<SoftwareVersion> proven;
      const auto record = records_.find(stream->number);
      if (settings_.has_memory && stream->names_attempt && isAlive(*stream)) {
        proven = stream->software;
      } else if (stream->names_attempt && record != records_.end()) {
        proven = record->second;
      } else if (row_version_ > 0 && leadsHere(configurationOf(*gateways_[index]))) {
        proven = row_.onlyVersion({clock() - (network_.now() - asked) - kWindow, hashOfRoutes(0), era_});
      }
      if (!proven || !chooseServer(index, proven)) {
        return;
      }
      crossed += *proven != stream->software ? 1 : 0;
      gone_on += counts ? 1 : 0;
    });
  }

  SiteSettings settings_;
  testing::VirtualNetwork network_;
  std::deque<std::unique_ptr<Gateway>> gateways_;  // null while it is down
  uint64_t lives_ = 0;
  std::vector<Server> servers_;
  bool is_store_up_ = true;
  absl::Duration most_write_delay_ = kMostStoreDelay;  // of the history
  SoftwareHistory row_;
  uint64_t row_version_ = 0;
  std::map<uint64_t, SoftwareVersion> records_;  // by stream
  Copy copy_;
  uint64_t era_ = 1;  // of the store
  std::vector<absl::Time> route_moves_;
  uint64_t last_stream_ = 0;
};

void playStreams(HistorySite& site, absl::Duration time, bool draws_names = true) {
  constexpr absl::Duration interval = absl::Milliseconds(50);
  for (absl::Duration played; played < time; played += interval) {
    site.beginStream(draws_names ? site.uniform() < 0.5 : true);
    site.runFor(interval);
  }
}

// Guards against streams that go on at a version that was guessed from what is listed.
TEST_CASE("no stream goes on at another version, whatever comes, goes, is killed or cut off from the store") {
  CHECK(rc::check([] {
    SiteSettings settings;
    settings.gateways = *rc::gen::inRange<size_t>(1, 8);
    settings.versions = *rc::gen::inRange<size_t>(2, 4);
    settings.seed = *rc::gen::arbitrary<uint32_t>();
    settings.is_new = *rc::gen::arbitrary<bool>();
    HistorySite site(settings);
    site.runFor(absl::Seconds(3));
    for (int phase = 0; phase < 30; ++phase) {
      const size_t version = site.draw(settings.versions);
      site.uniform() < 0.5 ? site.addServers(version) : site.removeServers(version);
      for (size_t index = 0; index < settings.gateways; ++index) {
        if (site.uniform() < 0.2) {
          site.setCutOff(index, site.uniform() < 0.6);
        }
        if (site.uniform() < 0.2) {
          site.isUp(index) ? site.kill(index) : site.start(index);
        }
      }
      site.setStoreUp(site.uniform() < 0.8);
      if (site.uniform() < 0.3) {
        site.moveRoute();
      }
      if (site.uniform() < 0.1) {
        site.saveCopy();
      }
      site.setMostWriteDelay(site.uniform() < 0.7 ? kMostStoreDelay : absl::Seconds(5));
      const bool kills_all = site.uniform() < 0.15;
      if (kills_all) {
        site.killAll();
        site.uniform() < 0.5 ? site.removeServers(version) : site.addServers(version);
        site.runFor(site.upTo(absl::Seconds(3)));
        if (site.uniform() < 0.3) {
          site.restoreCopy();
        }
        site.startAll();
      } else if (site.uniform() < 0.05) {
        site.restoreCopy();
      }
      playStreams(site, absl::Seconds(2));
    }
    site.setStoreUp(true);
    site.runFor(kMostStreaming + kMostAbsence);
    RC_ASSERT(site.crossed == 0);
  }));
}

// Guards against records that are lost with all gateways.
TEST_CASE(
    "streams that name the attempt go on after all gateways were killed, while several versions serve") {
  CHECK(rc::check([] {
    SiteSettings settings;
    settings.gateways = *rc::gen::inRange<size_t>(1, 16);
    settings.seed = *rc::gen::arbitrary<uint32_t>();
    HistorySite site(settings);
    site.runFor(absl::Seconds(3));
    site.addServers(1);
    site.runFor(absl::Seconds(3));
    playStreams(site, absl::Seconds(4), false);
    site.killAll();
    site.runFor(site.upTo(absl::Seconds(3)));
    site.startAll();
    site.runFor(kMostStreaming + kMostAbsence);
    RC_ASSERT(site.crossed == 0);
    RC_ASSERT(site.taken_up > 0);
    RC_ASSERT(site.goneOnShare() >= 0.95);
  }));
}

// Guards against streams that are lost with all gateways since their version served alone when they began.
TEST_CASE("streams that began before another version came go on after all gateways were killed") {
  CHECK(rc::check([] {
    SiteSettings settings;
    settings.gateways = *rc::gen::inRange<size_t>(1, 16);
    settings.seed = *rc::gen::arbitrary<uint32_t>();
    settings.has_memory = true;
    HistorySite site(settings);
    site.runFor(absl::Seconds(3));
    playStreams(site, absl::Seconds(4), false);
    site.addServers(1);
    site.runFor(kMostListLag + absl::Seconds(1));
    site.killAll();
    site.runFor(site.upTo(absl::Seconds(1)));
    site.startAll();
    site.runFor(kMostStreaming + kMostAbsence);
    RC_ASSERT(site.crossed == 0);
    RC_ASSERT(site.taken_up > 0);
    RC_ASSERT(site.goneOnShare() >= 0.95);
  }));
}

// Guards against a history that never proves anything.
TEST_CASE("streams that don't name the attempt go on while one version alone has served") {
  CHECK(rc::check([] {
    SiteSettings settings;
    settings.gateways = *rc::gen::inRange<size_t>(1, 8);
    settings.seed = *rc::gen::arbitrary<uint32_t>();
    settings.is_new = *rc::gen::arbitrary<bool>();
    HistorySite site(settings);
    site.runFor(settings.is_new ? absl::Seconds(3) : kWindow);
    playStreams(site, absl::Seconds(3));
    site.killAll();
    site.runFor(site.upTo(absl::Seconds(2)));
    site.startAll();
    playStreams(site, absl::Seconds(2));
    site.runFor(kMostStreaming + kMostAbsence);
    RC_ASSERT(site.crossed == 0);
    RC_ASSERT(site.taken_up > 0);
    RC_ASSERT(site.goneOnShare() >= 0.95);
  }));
}

}  // namespace
}  // namespace quincewick::forwarding
