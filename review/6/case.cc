// A stream goes on at another engine after its engine crashed, and that one answers with its own failure,
// whose body is long. Judges whether the client's stream is made of the engines' events only, each once, and
// whether a stream that ends as complete has all of them.
#include "../stand_ins_2/stand_ins.h"

namespace {

using namespace review;

constexpr int kEngines = 15;
constexpr int kCrashing = 4;          // of 15: a share of 0.27, at most 0.3
constexpr int64_t kCrashMs = 600;     // from one crash to the next
constexpr int64_t kDownMs = 1000;     // at most 1 s
constexpr int kFailingEngines = 2;    // of 15: a share of 0.13, at most 0.14
constexpr double kFailing = 0.45;     // of their requests, at most 0.45
constexpr int64_t kFailingMs = 3500;  // at most 6.5 s
constexpr int kWaves = 8;
constexpr int64_t kWaveMs = 7000;
constexpr int kSlots = 64;
constexpr int kClients = 180;
constexpr int kEvents = 25;
constexpr int64_t kEventMs = 40;
constexpr size_t kLongBody = 300'000;

struct Site {
  explicit Site(const std::string& folder) : record(folder + "/record.txt") {}
  Record record;
  std::atomic<bool> is_over{false};
  std::atomic<int> streams{0};
  std::atomic<int> complete{0};
  std::atomic<int> cut{0};
  std::atomic<int> refused{0};
  std::atomic<int> resumed{0};
  std::atomic<int> resumed_and_failed{0};
  std::atomic<int> broken{0};
};

std::string eventOf(const std::string& attempt, int number) {
  return "id: " + std::to_string(number) + "\ndata: " + attempt + " " + std::to_string(number) + "\n\n";
}

// One engine's address; each start there is a new incarnation with a new id.
class Engine {
 public:
  Engine(Site& site, Store& store, int number, std::string zone)
      : site_(site),
        store_(store),
        number_(number),
        zone_(std::move(zone)),
        listener_([this](const std::shared_ptr<Socket>& connection) { serve(connection); }) {
    announce();
  }

  void beat() {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (is_up_) {
      announce();
    }
  }
  void setFailing(bool is_failing) { is_failing_ = is_failing; }
  void crash() {
    std::string id;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      is_up_ = false;
      id = this->id();
      for (const auto& connection : connections_) {
        connection->reset();
      }
      connections_.clear();
    }
    listener_.close();
    site_.record.line("engine " + id + " crashes");
  }
  // The crashed incarnation's entry goes after three heartbeats of silence.
  void restart() {
    const std::string before = id();
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      ++incarnation_;
      is_up_ = true;
      listener_.open(listener_.port());
      announce();
    }
    std::thread([this, before] {
      sleepMs(2600);
      store_.remove("servers", before);
    }).detach();
  }

 private:
  std::string id() const { return "e-" + std::to_string(number_) + "-" + std::to_string(incarnation_); }

  void announce() {
    store_.put("servers", id(),
               serverRow("llm-pool", listener_.port(), zone_, kSlots, ++sequence_,
                         R"(,"stage":"colocated","models":[{"name":"m0","version":1,"adapters":[]}])"));
  }

  void serve(const std::shared_ptr<Socket>& connection) {
    std::string id;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (!is_up_) {
        return;
      }
      id = this->id();
      connections_.insert(connection);
    }
    Message request;
    while (!connection->isReset() && connection->readHead(request) && connection->readBody(request)) {
      if (!answer(*connection, request, id)) {
        break;
      }
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    connections_.erase(connection);
  }

  bool answer(Socket& connection, const Message& request, const std::string& id) {
    const std::string attempt = request.field("Quincewick-Attempt-Id");
    if (request.target() == "/v1/report") {
      const std::string body =
          R"({"stage":"colocated","models":[{"name":"m0","version":1,"adapters":[]}],"busy":false,)"
          R"("sequence":0,"queued":0,"running":0,"kvUsed":0,"kvTotal":110556,"handles":0})";
      return connection.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    if (request.field("Quincewick-Target-Instance") != id) {
      return connection.send("HTTP/1.1 421 Misdirected Request\r\nQuincewick-Instance-Id: " + id +
                             "\r\nContent-Length: 0\r\n\r\n");
    }
    const std::string last = request.field("Last-Event-Id");
    const std::string head = "Quincewick-Attempt-Id: " + attempt +
                             "\r\nQuincewick-Response-Signature: " + id + "." + attempt +
                             "\r\nQuincewick-Weight-Versions: 1\r\n";
    if (!last.empty()) {
      ++site_.resumed;
    }
    if (is_failing_ && draw() < kFailing) {
      if (!last.empty()) {
        ++site_.resumed_and_failed;
        site_.record.line("engine " + id + " answers " + attempt + ", to go on after " + last +
                          ", with its own 500 of " + std::to_string(kLongBody) + " bytes");
      }
      return connection.send("HTTP/1.1 500 Internal Server Error\r\n" + head +
                             "Content-Type: text/plain\r\nContent-Length: " + std::to_string(kLongBody) +
                             "\r\n\r\n" + std::string(kLongBody, '#'));
    }
    if (!last.empty()) {
      site_.record.line("engine " + id + " goes on with " + attempt + " after " + last);
    }
    if (!connection.send("HTTP/1.1 200 OK\r\n" + head +
                         "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
      return false;
    }
    for (int number = last.empty() ? 1 : std::stoi(last) + 1; number <= kEvents; ++number) {
      sleepMs(kEventMs);
      const std::string event = eventOf(attempt, number);
      char size[16];
      snprintf(size, sizeof(size), "%zx\r\n", event.size());
      if (connection.isReset() || !connection.send(size + event + "\r\n")) {
        return false;
      }
    }
    return connection.send("0\r\n\r\n");
  }

  double draw() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  Site& site_;
  Store& store_;
  int number_;
  std::string zone_;
  std::mutex mutex_;
  std::set<std::shared_ptr<Socket>> connections_;
  std::atomic<int> incarnation_{0};
  uint64_t sequence_ = 0;
  bool is_up_ = true;
  std::atomic<bool> is_failing_{false};
  std::mt19937_64 random_{std::random_device()()};
  Listener listener_;
};

void judge(Site& site, const std::string& attempt, const Message& answer) {
  if (answer.status() != 200) {
    ++site.refused;
    return;
  }
  std::string expected;
  for (int number = 1; number <= kEvents; ++number) {
    expected += eventOf(attempt, number);
  }
  ++(answer.is_whole ? site.complete : site.cut);
  const bool is_prefix = expected.compare(0, answer.body.size(), answer.body) == 0;
  if (is_prefix && (!answer.is_whole || answer.body == expected)) {
    return;
  }
  ++site.broken;
  size_t same = 0;
  while (same < answer.body.size() && same < expected.size() && answer.body[same] == expected[same]) {
    ++same;
  }
  const auto events =
      std::count(answer.body.begin(), answer.body.begin() + static_cast<ptrdiff_t>(same), 'i');
  site.record.line("BROKEN: the stream of " + attempt + " with the signature " +
                   answer.field("Quincewick-Response-Signature") + " has " + std::to_string(events) + " of " +
                   std::to_string(kEvents) + " events, then " + std::to_string(answer.body.size() - same) +
                   " other bytes (" + answer.body.substr(same, 20) + "...), and " +
                   (answer.is_whole ? "ends as complete" : "is cut"));
}

void runClient(Site& site, uint16_t port, int number) {
  sleepMs(number * 7);
  for (int count = 0; !site.is_over; ++count) {
    const std::string attempt = "q" + std::to_string(number) + "-" + std::to_string(count);
    const auto connection = Socket::connect(port);
    Message answer;
    if (connection == nullptr ||
        !connection->send(
            "POST /quotes/" + attempt + " HTTP/1.1\r\nHost: parking.example\r\n" +
            "Quincewick-Attempt-Id: " + attempt + "\r\nQuincewick-Deadline-Ms: 6000\r\n" +
            "Quincewick-Model: m0\r\nQuincewick-Token-Usage: 500,50\r\nQuincewick-Prompt-Prefix: " +
            "5c1e07a2:300," + std::to_string(100000 + number) + ":200\r\n" +
            "Authorization: Bearer key-a\r\nContent-Length: 0\r\n\r\n") ||
        !connection->readHead(answer, nowMs() + 6500)) {
      ++site.cut;
      sleepMs(100);
      continue;
    }
    ++site.streams;
    connection->readBody(answer, nowMs() + 6500);
    judge(site, attempt, answer);
    sleepMs(50);
  }
}

}  // namespace

// Arguments: gateway program, folder for settings and logs, folder of the record, 1 with the disruption.
int main(int count, char** arguments) {
  if (count != 5) {
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  const bool has_trouble = std::string(arguments[4]) == "1";
  Site& site = *new Site(arguments[3]);
  Store& store = *new Store();
  store.put("op", "version/m0", R"({"model":"m0","version":1})");
  store.put(
      "op", "config",
      R"({"version":3,"routes":[{"name":"quotes","host":"parking.example","pathPrefix":"/quotes/",)"
      R"("kind":"streaming","resumable":true,"stickySessions":true,"timeoutMs":6000,)"
      R"("targetLatencyMs":800,"gapTargetMs":500,"maxAttempts":2,"priority":1,"service":"llm-pool"}],)"
      R"("services":[{"name":"llm-pool","maxConnections":360,"healthPath":"/health","engine":{"slots":64,)"
      R"("kvCapacity":110556,"models":[{"name":"m0"}]}}],"limits":{"maxHeaderBytes":16384,)"
      R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
      R"("tenants":[{"name":"a","apiKeys":["key-a"]}]})");
  const std::vector<std::string> zones = {"hall-a", "hall-b", "hall-c"};
  std::vector<Engine*> engines;
  for (int number = 0; number < kEngines; ++number) {
    engines.push_back(new Engine(site, store, number, zones[static_cast<size_t>(number) % 3]));
  }
  std::thread([&engines] {
    while (true) {
      sleepMs(1200);
      for (Engine* const engine : engines) {
        engine->beat();
      }
    }
  }).detach();
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (const std::string& zone : zones) {
    gateways.push_back(
        std::make_unique<Gateway>(arguments[1], arguments[2], "front-" + zone, zone, store.port()));
  }
  if (!startAll(gateways)) {
    std::cerr << "the gateways don't become ready\n";
    return 2;
  }
  std::vector<std::thread> clients;
  for (int number = 0; number < kClients; ++number) {
    clients.emplace_back(runClient, std::ref(site), gateways[static_cast<size_t>(number) % 3]->front(),
                         number);
  }
  sleepMs(4000);
  for (int wave = 0; wave < kWaves; ++wave) {
    if (!has_trouble) {
      sleepMs(kWaveMs);
      continue;
    }
    const auto engineAt = [&engines, wave](int place) {
      return engines[static_cast<size_t>(wave + place) % kEngines];
    };
    for (int number = 0; number < kFailingEngines; ++number) {
      engineAt(number)->setFailing(true);
    }
    const int64_t began = nowMs();
    for (int number = 0; number < kCrashing; ++number) {
      Engine* const engine = engineAt(kFailingEngines + number);
      engine->crash();
      std::thread([engine] {
        sleepMs(kDownMs);
        engine->restart();
      }).detach();
      sleepMs(kCrashMs);
    }
    sleepMs(began + kFailingMs - nowMs());
    for (int number = 0; number < kFailingEngines; ++number) {
      engineAt(number)->setFailing(false);
    }
    sleepMs(began + kWaveMs - nowMs());
  }
  site.is_over = true;
  for (std::thread& client : clients) {
    client.join();
  }
  std::ostringstream sum;
  sum << site.streams << " streams answered, " << site.complete << " complete, " << site.cut << " cut, "
      << site.refused << " with another status; " << site.resumed << " went on elsewhere, "
      << site.resumed_and_failed << " of these met a failure; BROKEN " << site.broken;
  site.record.line(sum.str());
  std::cout << sum.str() << std::endl;
  for (const auto& gateway : gateways) {
    if (gateway->hasEnded()) {
      site.record.line("gateway " + gateway->name() + " ended by itself");
    }
    gateway->end();
  }
  site.record.flush();
  std::cout.flush();
  _exit(site.broken > 0 ? 1 : 0);
}
