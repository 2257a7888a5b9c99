// Stand-ins for the platform's store, for servers and for clients, and control of gateway processes. One
// thread serves each connection; everything is on loopback addresses and on the real clock.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Fields = std::vector<std::pair<std::string, std::string>>;

inline int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline void sleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(std::max<int64_t>(ms, 0)));
}

// What was sent, answered and run, with the time since the start.
class Record {
 public:
  explicit Record(const std::string& file) : out_(file), start_(nowMs()) {}
  void line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const int64_t at = nowMs() - start_;
    char time[32];
    snprintf(time, sizeof(time), "%lld.%03lld ", static_cast<long long>(at / 1000),
             static_cast<long long>(at % 1000));
    out_ << time << text << "\n";
  }
  void flush() {
    const std::lock_guard<std::mutex> lock(mutex_);
    out_.flush();
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  int64_t start_;
};

struct Message {
  std::string start;
  Fields fields;
  std::string body;
  bool is_whole = false;  // ended as its framing says

  std::string field(const std::string& name) const {
    for (const auto& [key, value] : fields) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }
  int status() const { return start.size() < 12 ? 0 : atoi(start.c_str() + 9); }
  std::string method() const { return start.substr(0, start.find(' ')); }
  std::string target() const {
    const size_t begin = start.find(' ') + 1;
    return start.substr(begin, start.find(' ', begin) - begin);
  }
};

inline sockaddr_in loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

class Socket {
 public:
  explicit Socket(int descriptor) : descriptor_(descriptor) {
    const int on = 1;
    setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Socket() { ::close(descriptor_); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  static std::shared_ptr<Socket> connect(uint16_t port) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
      ::close(descriptor);
      return nullptr;
    }
    return std::make_shared<Socket>(descriptor);
  }

  bool send(const std::string& bytes) {
    size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t size = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (size <= 0) {
        return false;
      }
      sent += static_cast<size_t>(size);
    }
    return true;
  }

  // False at the connection's end, or at the deadline.
  bool fill(int64_t deadline = 0) {
    if (deadline != 0) {
      pollfd ready{descriptor_, POLLIN, 0};
      if (poll(&ready, 1, static_cast<int>(std::max<int64_t>(deadline - nowMs(), 0))) <= 0) {
        return false;
      }
    }
    char bytes[16384];
    const ssize_t size = recv(descriptor_, bytes, sizeof(bytes), 0);
    if (size <= 0) {
      return false;
    }
    buffer_.append(bytes, static_cast<size_t>(size));
    return true;
  }

  bool readHead(Message& message, int64_t deadline = 0) {
    size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!fill(deadline)) {
        return false;
      }
    }
    std::istringstream lines(buffer_.substr(0, end + 2));
    buffer_.erase(0, end + 4);
    std::string line;
    message = Message();
    while (std::getline(lines, line)) {
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      if (message.start.empty()) {
        message.start = line;
      } else if (const size_t colon = line.find(':'); colon != std::string::npos) {
        const size_t value = line.find_first_not_of(' ', colon + 1);
        message.fields.emplace_back(line.substr(0, colon),
                                    value == std::string::npos ? "" : line.substr(value));
      }
    }
    return true;
  }

  bool take(size_t size, std::string& out, int64_t deadline = 0) {
    while (buffer_.size() < size) {
      if (!fill(deadline)) {
        out += buffer_;
        return false;
      }
    }
    out += buffer_.substr(0, size);
    buffer_.erase(0, size);
    return true;
  }

  // `piece` gets each piece of a chunked body as it comes.
  bool readBody(Message& message, int64_t deadline = 0,
                const std::function<void(const std::string&)>& piece = nullptr) {
    if (const std::string length = message.field("Content-Length"); !length.empty()) {
      message.is_whole = take(std::stoull(length), message.body, deadline);
      return message.is_whole;
    }
    if (message.field("Transfer-Encoding") != "chunked") {
      message.is_whole = true;
      return true;
    }
    while (true) {
      size_t end = 0;
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!fill(deadline)) {
          return false;
        }
      }
      const size_t size = std::stoull(buffer_.substr(0, end), nullptr, 16);
      buffer_.erase(0, end + 2);
      std::string bytes;
      if (!take(size + 2, bytes, deadline)) {
        message.body += bytes;
        return false;
      }
      bytes.resize(size);
      message.body += bytes;
      if (size == 0) {
        message.is_whole = true;
        return true;
      }
      if (piece) {
        piece(bytes);
      }
    }
  }

  // Ends the connection with a reset.
  void reset() {
    const linger abort{1, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    // Wakes the thread that reads; the descriptor is closed by its owner.
    shutdown(descriptor_, SHUT_RD);
    is_reset_ = true;
  }
  bool isReset() const { return is_reset_; }

 private:
  int descriptor_;
  std::string buffer_;
  std::atomic<bool> is_reset_{false};
};

class Listener {
 public:
  using Serve = std::function<void(const std::shared_ptr<Socket>&)>;
  explicit Listener(Serve serve) : serve_(std::move(serve)) { open(0); }

  uint16_t port() const { return port_; }

  void open(uint16_t port) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = loopback(port);
    socklen_t size = sizeof(address);
    if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(descriptor, 512) != 0) {
      std::cerr << "can't listen\n";
      _exit(2);
    }
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    descriptor_ = descriptor;
    std::thread([this, descriptor] {
      while (true) {
        const int accepted = accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
          return;
        }
        const auto connection = std::make_shared<Socket>(accepted);
        std::thread([this, connection] { serve_(connection); }).detach();
      }
    }).detach();
  }
  void close() {
    shutdown(descriptor_, SHUT_RDWR);
    ::close(descriptor_);
  }

 private:
  Serve serve_;
  int descriptor_ = -1;
  uint16_t port_ = 0;
};

inline std::string base64(const std::string& bytes) {
  static const char* const signs = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t at = 0; at < bytes.size(); at += 3) {
    uint32_t group = 0;
    for (size_t index = 0; index < 3; ++index) {
      group = group << 8 | (at + index < bytes.size() ? static_cast<uint8_t>(bytes[at + index]) : 0);
    }
    for (size_t index = 0; index < 4; ++index) {
      out += at + index > bytes.size() ? '=' : signs[group >> (18 - 6 * index) & 63];
    }
  }
  return out;
}

inline std::string unquoted(const std::string& text) {
  std::string out;
  for (size_t at = 0; at < text.size(); ++at) {
    if (text[at] == '%' && at + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
      at += 2;
    } else {
      out += text[at];
    }
  }
  return out;
}

// The platform's store: rows, transactions with conditions, long polls. Values stay in base64.
class Store {
 public:
  Store() : listener_([this](const std::shared_ptr<Socket>& connection) { serve(*connection); }) {}
  uint16_t port() const { return listener_.port(); }

  void put(const std::string& table, const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    tables_[table][key] = {base64(value), ++version_, false};
    changed_.notify_all();
  }
  void remove(const std::string& table, const std::string& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    tables_[table][key] = {"", ++version_, true};
    changed_.notify_all();
  }

 private:
  struct Row {
    std::string value;
    uint64_t version = 0;
    bool is_gone = false;
  };

  static std::string parameter(const std::string& target, const std::string& name) {
    size_t begin = target.find("?" + name + "=");
    begin = begin == std::string::npos ? target.find("&" + name + "=") : begin;
    if (begin == std::string::npos) {
      return "";
    }
    begin += name.size() + 2;
    const size_t end = target.find('&', begin);
    return unquoted(target.substr(begin, end == std::string::npos ? end : end - begin));
  }

  Json rowJson(const std::string& table, const std::string& key, const Row& row) const {
    Json json = {{"table", table}, {"part", ""}, {"key", key}, {"value", row.value}, {"ver", row.version}};
    if (row.is_gone) {
      json["gone"] = true;
    }
    return json;
  }
  Json answer() const { return {{"ver", version_}, {"now_ms", nowMs()}}; }

  void serve(Socket& connection) {
    Message request;
    while (connection.readHead(request) && connection.readBody(request)) {
      int status = 200;
      const Json json = handle(request, status);
      const std::string body = json.dump();
      sleepMs(4);
      if (!connection.send("HTTP/1.1 " + std::to_string(status) +
                           " X\r\nContent-Type: application/json\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }

  Json handle(const Message& request, int& status) {
    const std::string target = request.target();
    std::unique_lock<std::mutex> lock(mutex_);
    if (target.rfind("/v1/rows-get", 0) == 0) {
      return read(target);
    }
    if (target.rfind("/v1/rows-feed", 0) == 0) {
      return follow(target, lock);
    }
    if (target.rfind("/v1/rows-tx", 0) == 0) {
      return write(Json::parse(request.body), status);
    }
    status = 404;
    return Json::object();
  }

  Json read(const std::string& target) {
    const std::string table = parameter(target, "table");
    const std::string from = parameter(target, "from");
    const std::string to = parameter(target, "targetVersion");
    const std::string limit_text = parameter(target, "limit");
    const size_t limit = limit_text.empty() ? 500 : std::min<size_t>(std::stoull(limit_text), 500);
    Json json = answer();
    json["rows"] = Json::array();
    json["more"] = false;
    for (const auto& [key, row] : tables_[table]) {
      if (row.is_gone || key < from || (!to.empty() && key >= to)) {
        continue;
      }
      if (json["rows"].size() == limit) {
        json["more"] = true;
        break;
      }
      json["rows"].push_back(rowJson(table, key, row));
    }
    return json;
  }

  Json follow(const std::string& target, std::unique_lock<std::mutex>& lock) {
    const std::string table = parameter(target, "table");
    const uint64_t after = std::stoull(parameter(target, "after"));
    const auto until =
        std::chrono::steady_clock::now() +
        std::chrono::milliseconds(std::min<int64_t>(std::stoll(parameter(target, "waitMs")), 30000));
    const auto changes = [&] {
      std::map<uint64_t, Json> rows;
      for (const auto& [key, row] : tables_[table]) {
        if (row.version > after) {
          rows[row.version] = rowJson(table, key, row);
        }
      }
      return rows;
    };
    while (changes().empty() && changed_.wait_until(lock, until) != std::cv_status::timeout) {
    }
    Json json = answer();
    json["rows"] = Json::array();
    for (const auto& [version, row] : changes()) {
      json["rows"].push_back(row);
    }
    return json;
  }

  Json write(const Json& transaction, int& status) {
    Json json = answer();
    for (const Json& condition : transaction["expectedRevision"]) {
      const auto& rows = tables_[condition["table"]];
      const auto found = rows.find(condition["key"]);
      const uint64_t version = found == rows.end() || found->second.is_gone ? 0 : found->second.version;
      if (version != condition["ver"].get<uint64_t>()) {
        status = 412;
        json["rows"] = Json::array();
        if (version != 0) {
          json["rows"].push_back(rowJson(condition["table"], condition["key"], found->second));
        }
        return json;
      }
    }
    ++version_;
    for (const Json& row : transaction["put"]) {
      tables_[row["table"]][row["key"]] = {row["value"], version_, false};
    }
    for (const Json& row : transaction["remove"]) {
      tables_[row["table"]][row["key"]] = {"", version_, true};
    }
    changed_.notify_all();
    json["ver"] = version_;
    return json;
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, Row>> tables_;
  uint64_t version_ = 1;
  Listener listener_;
};

// Below the ports that the system gives to outgoing connections, free for TCP and UDP.
inline uint16_t freePort() {
  static std::mt19937 random{std::random_device()()};
  while (true) {
    const auto port = static_cast<uint16_t>(12'000 + random() % 20'000);
    const sockaddr_in address = loopback(port);
    bool is_free = true;
    for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
      const int descriptor = socket(AF_INET, type | SOCK_CLOEXEC, 0);
      is_free =
          is_free && bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
      ::close(descriptor);
    }
    if (is_free) {
      return port;
    }
  }
}

// A gateway process, with the command of the deploy file and the settings that its template gives.
class Gateway {
 public:
  Gateway(std::string program, std::string folder, std::string name, std::string zone, uint16_t store)
      : program_(std::move(program)),
        folder_(std::move(folder)),
        name_(std::move(name)),
        zone_(std::move(zone)),
        store_(store) {}
  ~Gateway() { end(); }

  // With free ports.
  void writeSettings() {
    front_ = freePort();
    ready_ = freePort();
    std::ofstream file(folder_ + "/" + name_ + ".yaml");
    const auto at = [](uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\"\n"; };
    file
        << "gateway_id: \"" << name_ << "\"\nzone: \"" << zone_ << "\"\nregion: \"hu-central\"\nlisten:\n"
        << "  callers: " << at(front_) << "  readiness: " << at(ready_) << "  peers: " << at(freePort())
        << "  delegation: " << at(freePort()) << "  metrics: " << at(freePort()) << "store: " << at(store_)
        << "site_is_new: true\ncapacity: 1000\nplacement:\n  late_within_class: true\n  learned_speed: true\n"
        << "bounds:\n  key_revocation: 5000ms\n  configuration_in_force: 2000ms\n  server_drain: 2000ms\n"
        << "  stop_grace: 8s\n  order_lease: 3000ms\n  weights_in_force: 8000ms\n  retry_ratio: 0.2\n"
        << "  retry_constant: 54\n";
  }

  void start() {
    const std::string settings = folder_ + "/" + name_ + ".yaml";
    const std::string log = folder_ + "/" + name_ + ".log";
    process_ = fork();
    if (process_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // also if this program is killed
      const int descriptor = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      dup2(descriptor, STDOUT_FILENO);
      dup2(descriptor, STDERR_FILENO);
      execl(program_.c_str(), program_.c_str(), "serve", "--settings", settings.c_str(), nullptr);
      _exit(127);
    }
  }
  void signal(int number) const { kill(process_, number); }
  void end() {
    if (process_ > 0) {
      kill(process_, SIGKILL);
      waitpid(process_, nullptr, 0);
      process_ = 0;
    }
  }
  // Whether the process has ended by itself.
  bool hasEnded() {
    int status = 0;
    if (process_ > 0 && waitpid(process_, &status, WNOHANG) == process_) {
      process_ = 0;
      return true;
    }
    return false;
  }
  bool isReady() const {
    const auto connection = Socket::connect(ready_);
    Message answer;
    return connection != nullptr && connection->send("GET /v1/ready HTTP/1.1\r\nHost: r\r\n\r\n") &&
           connection->readHead(answer, nowMs() + 1000) && answer.status() == 200;
  }
  uint16_t front() const { return front_; }
  const std::string& name() const { return name_; }

 private:
  std::string program_;
  std::string folder_;
  std::string name_;
  std::string zone_;
  uint16_t store_ = 0;
  uint16_t front_ = 0;
  uint16_t ready_ = 0;
  pid_t process_ = 0;
};

// Starts the gateways and waits until all are ready; false after 20 s.
inline bool startAll(std::vector<std::unique_ptr<Gateway>>& gateways) {
  for (const auto& gateway : gateways) {
    gateway->writeSettings();
    gateway->start();
  }
  const int64_t until = nowMs() + 20'000;
  for (const auto& gateway : gateways) {
    while (!gateway->isReady()) {
      if (gateway->hasEnded()) {  // another program has taken a port meanwhile
        gateway->writeSettings();
        gateway->start();
      }
      if (nowMs() > until) {
        return false;
      }
      sleepMs(50);
    }
  }
  sleepMs(1500);  // gateways hear each other
  return true;
}

inline std::string serverRow(const std::string& service, uint16_t port, const std::string& zone, int slots,
                             uint64_t sequence, const std::string& models = "") {
  return R"({"service":")" + service + R"(","address":"127.0.0.1:)" + std::to_string(port) + R"(","zone":")" +
         zone + R"(","version":"v1","slots":)" + std::to_string(slots) +
         R"(,"state":"ready","coldRemainingMs":0,"sequence":)" + std::to_string(sequence) + models + "}";
}

}  // namespace review
