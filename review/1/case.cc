// Case 1: new weights are named while two gateways have requests in flight at 65 servers each. See
// claim.txt.
#include "../stand_ins/site.h"

namespace review {
namespace {

constexpr int kEngines = 65;
constexpr int kStreamers = 400;  // clients with a stream under way, for each gateway
constexpr int kEvents = 40;
constexpr double kEventGap = 0.045;
constexpr double kLoadTime = 0.63;
constexpr double kTimeout = 3.5;   // the route's timeoutMs
constexpr double kPatience = 4.0;  // of a client, for a gap: eight times the allowed pause
constexpr double kWarmUp = 6.0;
constexpr int kVersions = 3;  // of the weights, named one after the other
constexpr double kVersionGap = 4.0;
constexpr double kObserved = 8.0;  // after the last
const char* const kModel = "daka510000";
const char* const kKey = "ctnfzs989anu6wsjnban";

struct Site {
  Record& record;
  Store store;
  std::vector<std::unique_ptr<Gateway>> gateways;
  std::vector<std::atomic<bool>> is_in = std::vector<std::atomic<bool>>(2);
  std::atomic<bool> is_over{false};
  // Requests in flight at each server by the gateway that the client first chose, the last digit of its
  // attempt id's first number. For the record only.
  std::vector<std::vector<std::atomic<int>>> in_flight = std::vector<std::vector<std::atomic<int>>>(2);
};

size_t gatewayOf(const std::string& attempt) {
  const size_t end = attempt.find('x');
  return end == std::string::npos || end == 0 ? 0 : static_cast<size_t>(attempt[end - 1] - '0') % 2;
}

// A model server: one version of the model's weights, streams of events, orders.
class Engine {
 public:
  Engine(Site& site, int number)
      : site_(site),
        number_(static_cast<size_t>(number)),
        id_("i-engine" + std::to_string(number)),
        listener_([this](int socket) { serve(socket); }) {}

  void beat() {
    const std::lock_guard<std::mutex> lock(mutex_);
    site_.store.put("servers", id_, serverRow("llm-pool", listener_.port(), "hall-a", 24, kModel, version_));
  }

 private:
  void serve(int socket) {
    Reader reader(socket);
    Message request;
    while (reader.head(request, secondsNow() + 600) && reader.body(request, false, secondsNow() + 10)) {
      const std::string target = request.target();
      bool goes_on = true;
      if (target == "/v1/report") {
        goes_on = sendAll(socket, json(200, report()));
      } else if (target == "/v1/order") {
        goes_on = sendAll(socket, json(takeOrder(request), "{}"));
      } else {
        goes_on = stream(socket, request);
      }
      if (!goes_on) {
        return;
      }
      request = Message();
    }
  }

  static std::string json(int status, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) +
           " OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }

  std::string report() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::string("{\"stage\":\"colocated\",\"models\":[{\"name\":\"") + kModel +
           "\",\"version\":" + std::to_string(version_) +
           ",\"adapters\":[]}],\"busy\":" + (is_busy_ ? "true" : "false") +
           ",\"sequence\":" + std::to_string(sequence_) +
           ",\"queued\":0,\"running\":" + std::to_string(running_.load()) +
           ",\"kvUsed\":0,\"kvTotal\":90000,\"handles\":0}";
  }

  int takeOrder(const Message& order) {
    const size_t mark = order.body.find("\"version\":");
    const int wanted = std::atoi(order.body.c_str() + mark + 10);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (is_busy_) {
      return 409;
    }
    if (wanted <= version_) {
      return 200;
    }
    site_.record.line("ORDER server %s weights %d", id_.c_str(), wanted);
    ++sequence_;
    is_busy_ = true;
    std::thread([this, wanted] {
      sleepFor(kLoadTime);
      {
        const std::lock_guard<std::mutex> inner(mutex_);
        version_ = wanted;
        is_busy_ = false;
      }
      beat();
    }).detach();
    return 202;
  }

  bool stream(int socket, const Message& request) {
    const std::string attempt = request.field("quincewick-attempt-id");
    const std::string expected = request.field("quincewick-expected-version");
    int version = 0;
    bool is_busy = false;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      version = version_;
      is_busy = is_busy_;
    }
    const std::string common = "Quincewick-Attempt-Id: " + attempt +
                               "\r\nQuincewick-Weight-Versions: " + std::to_string(version) + "\r\n";
    if (request.field("quincewick-target-instance") != id_ ||
        (!expected.empty() && std::atoi(expected.c_str()) != version)) {
      return sendAll(socket, "HTTP/1.1 421 Misdirected Request\r\nQuincewick-Instance-Id: " + id_ + "\r\n" +
                                 common + "Content-Length: 0\r\n\r\n");
    }
    if (is_busy || running_ >= 96) {
      return sendAll(socket, "HTTP/1.1 503 Service Unavailable\r\nQuincewick-Not-Executed: 1\r\n" + common +
                                 "Content-Length: 0\r\n\r\n");
    }
    ++running_;
    ++site_.in_flight[gatewayOf(attempt)][number_];
    bool goes_on = sendAll(socket,
                           "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
                           "chunked\r\nQuincewick-Response-Signature: " +
                               id_ + "." + attempt + "\r\n" + common + "\r\n");
    for (int event = 1; event <= kEvents && goes_on; ++event) {
      const std::string text = "id: " + std::to_string(event) + "\ndata: token\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
      goes_on = sendAll(socket, size + text + "\r\n");
      sleepFor(kEventGap);
    }
    --running_;
    --site_.in_flight[gatewayOf(attempt)][number_];
    return goes_on && sendAll(socket, "0\r\n\r\n");
  }

  Site& site_;
  size_t number_;
  std::string id_;
  std::mutex mutex_;
  int version_ = 1;
  int sequence_ = 0;
  bool is_busy_ = false;
  std::atomic<int> running_{0};
  Listener listener_;
};

std::string configuration() {
  return std::string("{\"version\":7,\"routes\":[") +
         "{\"name\":\"r-ask\",\"host\":\"jepu9.example\",\"pathPrefix\":\"/lepu270/\",\"kind\":"
         "\"streaming\",\"timeoutMs\":3500,\"targetLatencyMs\":600,\"priority\":0,\"service\":\"llm-pool\","
         "\"maxAttempts\":1,\"public\":false,\"stickySessions\":true,\"resumable\":false,\"gapTargetMs\":500}"
         "],\"services\":[{\"name\":\"llm-pool\",\"healthPath\":\"/health\",\"maxConnections\":590,"
         "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":24,\"kvCapacity\":87632,"
         "\"kvTokenBytes\":163840,\"linkMbps\":550000.0,\"stride\":4,\"maxInFlight\":12,\"models\":[{"
         "\"name\":\"" +
         kModel +
         "\"}]}}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"sese880\",\"apiKeys\":"
         "[\"" +
         kKey + "\"],\"priority\":1,\"isolated\":false}]}";
}

// The platform's entrance: asks each gateway once a second; after two misses it gets no new connections.
void watchReadiness(Site& site, size_t gateway) {
  int misses = 0;
  while (!site.is_over) {
    const bool is_ready = site.gateways[gateway]->isReady();
    misses = is_ready ? 0 : misses + 1;
    const bool was_in = site.is_in[gateway];
    site.is_in[gateway] = is_ready || (was_in && misses < 2);
    if (!is_ready) {
      site.record.line("NOT READY %s (%d in a row)", site.gateways[gateway]->id().c_str(), misses);
    }
    sleepFor(1);
  }
}

size_t chooseGateway(const Site& site, int client) {
  const auto preferred = static_cast<size_t>(client) % site.gateways.size();
  if (site.is_in[preferred] || !site.is_in[1 - preferred]) {
    return preferred;
  }
  return 1 - preferred;
}

struct Stream {
  std::string gateway;
  double sent = 0;
  double left = 0;        // when the client had its end, or gave up
  bool has_head = false;  // the gateway had begun to answer
  bool has_end = false;
};

class Streams {
 public:
  void note(const Stream& stream) {
    const std::lock_guard<std::mutex> lock(mutex_);
    streams_.push_back(stream);
  }
  std::vector<Stream> all() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return streams_;
  }

 private:
  std::mutex mutex_;
  std::vector<Stream> streams_;
};

// Reads a stream until its last chunk, or the end of an answer that is none. A client gives it up after a
// gap.
bool readStream(Reader& reader, Message& answer) {
  if (!reader.head(answer, secondsNow() + kPatience)) {
    return false;
  }
  if (answer.field("transfer-encoding") != "chunked") {
    return reader.body(answer, true, secondsNow() + kPatience);
  }
  std::string& bytes = reader.buffered();
  const std::string last = "0\r\n\r\n";
  while (bytes.size() < last.size() || bytes.compare(bytes.size() - last.size(), last.size(), last) != 0) {
    if (!reader.more(secondsNow() + kPatience)) {
      return false;
    }
  }
  bytes.clear();
  return true;
}

// A client with one stream after another on a kept connection.
void runStreamer(Site& site, Streams& streams, int client) {
  int number = 0;
  while (!site.is_over) {
    const size_t gateway = chooseGateway(site, client);
    const int socket = connectTo(site.gateways[gateway]->callers());
    if (socket < 0) {
      sleepFor(0.2);
      continue;
    }
    Reader reader(socket);
    bool goes_on = true;
    while (goes_on && !site.is_over) {
      const std::string attempt = "stream" + std::to_string(client) + "x" + std::to_string(++number);
      const std::string shared = std::to_string(1000 + (client * 7919 + number * 104729) % 485);
      Stream stream{site.gateways[gateway]->id(), secondsNow(), 0, false, false};
      Message answer;
      stream.has_end =
          sendAll(socket, "POST /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\nQuincewick-Attempt-Id: " +
                              attempt + "\r\nQuincewick-Model: " + kModel +
                              "\r\nQuincewick-Token-Usage: 826,40\r\nQuincewick-Prompt-Prefix: " + shared +
                              ":198,ff" + std::to_string(client * 1000 + number) +
                              ":628\r\nQuincewick-Deadline-Ms: 15000\r\nAuthorization: Bearer " + kKey +
                              "\r\nContent-Length: 5\r\n\r\nhello") &&
          readStream(reader, answer);
      stream.left = secondsNow();
      stream.has_head = answer.status() != 0;
      streams.note(stream);
      site.record.line("STREAM %s at %s sent %.3f status %d %s", attempt.c_str(), stream.gateway.c_str(),
                       stream.sent, answer.status(),
                       stream.has_end                  ? "ended"
                       : reader.end() == End::kTimeout ? "GIVEN UP after a gap of 4 s"
                                                       : "broken off");
      if (answer.status() == 503) {
        sleepFor(std::max(0.05, std::atof(answer.field("retry-after").c_str())));
      }
      goes_on = stream.has_end && answer.field("connection") != "close";
    }
    ::close(socket);
  }
}

int run(const std::string& program, const std::string& record_file) {
  startOfRun();
  Record& record = *new Record(record_file);
  Folder folder;
  Site& site = *new Site{record, {}, {}};  // its threads run until the process ends
  for (auto& servers : site.in_flight) {
    servers = std::vector<std::atomic<int>>(kEngines);
  }
  std::vector<Engine*> engines;
  for (int number = 0; number < kEngines; ++number) {
    engines.push_back(new Engine(site, number));
    engines.back()->beat();
  }
  site.store.put("op", "config", configuration());
  site.store.put("op", std::string("version/") + kModel,
                 std::string("{\"model\":\"") + kModel + "\",\"version\":1}");
  for (int number = 0; number < 2; ++number) {
    site.gateways.push_back(std::make_unique<Gateway>(
        program, folder.path(), "front-hall-a-" + std::to_string(number + 1), "hall-a", site.store.port()));
    site.gateways.back()->start();
  }
  for (const auto& gateway : site.gateways) {
    if (!gateway->awaitReady(15)) {
      record.line("the gateways don't get ready");
      return 2;
    }
  }
  record.line("both gateways are ready");
  Streams streams;
  std::vector<std::thread> threads;
  for (size_t number = 0; number < 2; ++number) {
    site.is_in[number] = true;
    threads.emplace_back([&site, number] { watchReadiness(site, number); });
  }
  for (int client = 0; client < 2 * kStreamers; ++client) {
    threads.emplace_back([&site, &streams, client] { runStreamer(site, streams, client); });
  }
  sleepFor(kWarmUp);
  std::thread operation([&site] {
    for (int version = 2; hasTrouble() && version < 2 + kVersions; ++version) {
      site.store.put(
          "op", std::string("version/") + kModel,
          std::string("{\"model\":\"") + kModel + "\",\"version\":" + std::to_string(version) + "}");
      site.record.line("TROUBLE the operator names weights %d", version);
      sleepFor(kVersionGap);
    }
  });
  for (double end = secondsNow() + kVersions * kVersionGap + kObserved; secondsNow() < end;) {
    const double used[] = {site.gateways[0]->processorSeconds(), site.gateways[1]->processorSeconds()};
    std::map<long, int> loaded[2];
    for (int sample = 0; sample < 80; ++sample) {
      sleepFor(0.025);
      for (size_t number = 0; number < 2; ++number) {
        const auto& servers = site.in_flight[number];
        ++loaded[number]
                [std::count_if(servers.begin(), servers.end(), [](const auto& count) { return count > 0; })];
      }
    }
    for (size_t number = 0; number < 2; ++number) {
      std::string text;
      for (const auto& [servers, times] : loaded[number]) {
        text += " " + std::to_string(servers) + "x" + std::to_string(times);
      }
      record.line("LOADED servers by requests by way of %s:%s", site.gateways[number]->id().c_str(),
                  text.c_str());
      record.line("PROCESSOR %s used %.2f s in 2 s", site.gateways[number]->id().c_str(),
                  site.gateways[number]->processorSeconds() - used[number]);
    }
  }
  operation.join();
  site.is_over = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  for (const auto& gateway : site.gateways) {
    gateway->kill(SIGKILL);
  }
  size_t ended = 0;
  size_t past = 0;
  size_t late = 0;
  for (const Stream& stream : streams.all()) {
    if (!stream.has_head) {
      continue;  // perhaps never read
    }
    const double waited = stream.left - stream.sent;
    ended += stream.has_end ? 1 : 0;
    past += waited > kTimeout ? 1 : 0;
    late += waited > kTimeout + 0.5 ? 1 : 0;
  }
  // CONFIG: of the requests that run past their route's timeoutMs, eight or more, and more than half, have no
  // final answer half a second later.
  const bool is_broken = late >= 8 && 2 * late > past;
  record.line("RESULT %zu streams ended; %zu ran past timeoutMs, %zu of them without an answer 0.5 s later",
              ended, past, late);
  record.line(is_broken ? "BROKEN: CONFIG" : "HELD: CONFIG");
  return is_broken ? 1 : ended < 100 ? 2 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  if (argc != 3) {
    std::fprintf(stderr, "usage: case PROGRAM RECORD\n");
    return 2;
  }
  const int result = review::run(argv[1], argv[2]);
  std::fflush(nullptr);
  std::_Exit(result);
}
