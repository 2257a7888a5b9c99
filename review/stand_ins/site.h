// Stand-ins for a small site on loopback: the platform's store, servers, clients and gateway processes. Each
// follows the users' PROTOCOL page. Threads and blocking sockets; no dependency beyond the C++ library.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/types.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;  // NOLINT: literals only

inline Clock::time_point startOfRun() {
  static const Clock::time_point start = Clock::now();
  return start;
}

inline double secondsNow() {
  return std::chrono::duration<double>(Clock::now() - startOfRun()).count();
}

inline void sleepFor(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// The case's record: one line for each thing that was sent, answered or run.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
    if (file_ == nullptr) {
      std::perror("record");
      std::exit(2);
    }
  }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::fprintf(file_, "%8.3f ", secondsNow());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

// ---------------------------------------------------------------------------------------------- sockets

inline bool sendAll(int socket, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

inline sockaddr_in loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

// `window`: the receive buffer, as of a link with a small window; 0: the system's own.
inline int connectTo(uint16_t port, int window = 0) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(port);
  const int one = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  const timeval limit{1, 0};  // a new connection is given a second to come up
  ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  if (window > 0) {
    ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
  }
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    ::close(socket);
    return -1;
  }
  return socket;
}

// A listening socket on a free port.
inline std::pair<int, uint16_t> listenAnywhere() {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(0);
  if (::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      ::listen(socket, 512) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  socklen_t size = sizeof(address);
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  return {socket, ntohs(address.sin_port)};
}

// A port that is free for TCP and UDP now, below those that the system gives to outgoing connections.
inline uint16_t freePort() {
  static uint16_t next = static_cast<uint16_t>(15000 + ::getpid() % 10000);
  while (true) {
    const sockaddr_in address = loopback(++next);
    const int stream = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int datagrams = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const bool is_free = ::bind(stream, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 &&
                         ::bind(datagrams, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    ::close(datagrams);
    ::close(stream);
    if (is_free) {
      return next;
    }
  }
}

// ----------------------------------------------------------------------------------------------- HTTP

struct Message {
  std::string first_line;
  std::map<std::string, std::string> fields;  // names in lower case
  std::string body;

  std::string field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
  bool has(const std::string& name) const { return fields.count(name) > 0; }
  std::string method() const { return first_line.substr(0, first_line.find(' ')); }
  std::string target() const {
    const size_t begin = first_line.find(' ') + 1;
    return first_line.substr(begin, first_line.find(' ', begin) - begin);
  }
  int status() const { return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0; }
};

// How the bytes of a connection ended.
enum class End { kOpen, kOrderly, kReset, kTimeout };

// Reads from one connection. `pace`: at most so many bytes a second; 0: as fast as they come.
class Reader {
 public:
  explicit Reader(int socket, double pace = 0) : socket_(socket), pace_(pace), began_(secondsNow()) {}

  End end() const { return end_; }
  std::string& buffered() { return buffer_; }

  bool more(double deadline) {
    if (end_ != End::kOpen) {
      return false;
    }
    char bytes[16384];
    size_t wanted = sizeof(bytes);
    if (pace_ > 0) {
      const double due = began_ + static_cast<double>(taken_) / pace_;
      if (due > secondsNow()) {
        sleepFor(due - secondsNow());
      }
      wanted = std::min<size_t>(wanted, 4096);
    }
    const double left = deadline - secondsNow();
    pollfd waiting{socket_, POLLIN, 0};
    if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left * 1000) + 1) == 0) {
      end_ = End::kTimeout;
      return false;
    }
    const ssize_t count = ::recv(socket_, bytes, wanted, 0);
    if (count == 0) {
      end_ = End::kOrderly;
    } else if (count < 0) {
      end_ = End::kReset;
    } else {
      buffer_.append(bytes, static_cast<size_t>(count));
      taken_ += static_cast<size_t>(count);
    }
    return count > 0;
  }

  // Reads a head; false if the connection ends first.
  bool head(Message& message, double deadline) {
    size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!more(deadline)) {
        return false;
      }
    }
    const std::string text = buffer_.substr(0, end + 2);
    buffer_.erase(0, end + 4);
    size_t line = text.find("\r\n");
    message.first_line = text.substr(0, line);
    for (size_t begin = line + 2; begin < text.size();) {
      line = text.find("\r\n", begin);
      const std::string field = text.substr(begin, line - begin);
      begin = line + 2;
      const size_t colon = field.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::string name = field.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
      const size_t value = field.find_first_not_of(' ', colon + 1);
      message.fields[name] = value == std::string::npos ? "" : field.substr(value);
    }
    return true;
  }

  bool take(size_t size, std::string& out, double deadline) {
    while (buffer_.size() < size) {
      if (!more(deadline)) {
        out += buffer_;
        buffer_.clear();
        return false;
      }
    }
    out += buffer_.substr(0, size);
    buffer_.erase(0, size);
    return true;
  }

  // Reads the body of a message by its framing. True if it is complete by the rules of HTTP/1.1.
  bool body(Message& message, bool is_response, double deadline) {
    if (message.field("transfer-encoding") == "chunked") {
      while (true) {
        size_t end = 0;
        while ((end = buffer_.find("\r\n")) == std::string::npos) {
          if (!more(deadline)) {
            return false;
          }
        }
        const size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
        buffer_.erase(0, end + 2);
        std::string line_end;
        if (!take(size, message.body, deadline) || !take(2, line_end, deadline)) {
          return false;
        }
        if (size == 0) {
          return true;
        }
      }
    }
    if (message.has("content-length")) {
      return take(std::strtoul(message.field("content-length").c_str(), nullptr, 10), message.body, deadline);
    }
    if (!is_response) {
      return true;
    }
    while (more(deadline)) {
    }
    message.body += buffer_;
    buffer_.clear();
    return end_ == End::kOrderly;  // without a length, the connection's end is the body's
  }

 private:
  int socket_;
  double pace_;
  double began_;
  size_t taken_ = 0;
  std::string buffer_;
  End end_ = End::kOpen;
};

// Accepts connections on a free port and runs `serve` for each on a thread of its own.
class Listener {
 public:
  using Serve = std::function<void(int socket)>;
  explicit Listener(Serve serve) : serve_(std::move(serve)) {
    std::tie(socket_, port_) = listenAnywhere();
    std::thread([this] {
      while (true) {
        const int connection = ::accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0) {
          continue;
        }
        const int one = 1;
        ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        std::thread([this, connection] {
          serve_(connection);
          ::close(connection);
        }).detach();
      }
    }).detach();
  }
  uint16_t port() const { return port_; }

 private:
  Serve serve_;
  int socket_ = -1;
  uint16_t port_ = 0;
};

// ---------------------------------------------------------------------------------------------- store

inline std::string base64(const std::string& text) {
  static const char* const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t index = 0; index < text.size(); index += 3) {
    uint32_t bits = 0;
    for (size_t byte = 0; byte < 3; ++byte) {
      bits = bits << 8U | (index + byte < text.size() ? static_cast<unsigned char>(text[index + byte]) : 0U);
    }
    for (size_t letter = 0; letter < 4; ++letter) {
      out += index + letter > text.size() ? '=' : letters[bits >> (18U - 6U * letter) & 63U];
    }
  }
  return out;
}

// The text after `"name":"` in a flat piece of JSON; the gateways' rows need no more.
inline std::string textIn(const std::string& json, const std::string& name) {
  const std::string mark = "\"" + name + "\":\"";
  const size_t begin = json.find(mark);
  return begin == std::string::npos
             ? ""
             : json.substr(begin + mark.size(), json.find('"', begin + mark.size()) - begin - mark.size());
}

inline std::vector<std::string> objectsIn(const std::string& json, const std::string& list) {
  std::vector<std::string> objects;
  const size_t begin = json.find("\"" + list + "\":[");
  if (begin == std::string::npos) {
    return objects;
  }
  const size_t end = json.find(']', begin);
  for (size_t open = json.find('{', begin); open < end; open = json.find('{', open + 1)) {
    objects.push_back(json.substr(open, json.find('}', open) - open + 1));
  }
  return objects;
}

// The platform's store: rows, conditional writes, snapshots and long polls. Values are kept encoded.
class Store {
 public:
  Store() : listener_([this](int socket) { serve(socket); }) {}
  uint16_t port() const { return listener_.port(); }

  // A write of the operator or of a server: `value` is plain text.
  void put(const std::string& table, const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++version_;
    rows_[{table, key}] = {base64(value), version_, false};
    changed_.notify_all();
  }

 private:
  struct Row {
    std::string value;
    uint64_t version = 0;
    bool is_gone = false;
  };

  static std::string parameter(const std::string& target, const std::string& name) {
    size_t begin = target.find(name + "=");
    if (begin == std::string::npos) {
      return "";
    }
    begin += name.size() + 1;
    std::string text = target.substr(begin, target.find('&', begin) - begin);
    std::string plain;
    for (size_t index = 0; index < text.size(); ++index) {
      if (text[index] == '%' && index + 2 < text.size()) {
        plain += static_cast<char>(std::strtol(text.substr(index + 1, 2).c_str(), nullptr, 16));
        index += 2;
      } else {
        plain += text[index];
      }
    }
    return plain;
  }

  std::string tail() const {
    const auto now = static_cast<long>(secondsNow() * 1000) + 50'000;
    return "\"ver\":" + std::to_string(version_) + ",\"now_ms\":" + std::to_string(now) + "}";
  }

  std::string printRow(const std::string& table, const std::string& key, const Row& row) const {
    return "{\"table\":\"" + table + "\",\"part\":\"\",\"key\":\"" + key + "\",\"value\":\"" + row.value +
           "\",\"ver\":" + std::to_string(row.version) + (row.is_gone ? ",\"gone\":true}" : "}");
  }

  std::string read(const std::string& target) {
    const std::string table = parameter(target, "table");
    const std::string from = parameter(target, "from");
    const size_t limit = std::strtoul(parameter(target, "limit").c_str(), nullptr, 10);
    std::string rows;
    size_t count = 0;
    bool has_more = false;
    for (const auto& [name, row] : rows_) {
      if (name.first != table || name.second < from || row.is_gone) {
        continue;
      }
      if (limit > 0 && count == std::min<size_t>(limit, 500)) {
        has_more = true;
        break;
      }
      rows += (count++ > 0 ? "," : "") + printRow(table, name.second, row);
    }
    return "{\"rows\":[" + rows + "],\"more\":" + (has_more ? "true," : "false,") + tail();
  }

  std::string follow(const std::string& target, std::unique_lock<std::mutex>& lock) {
    const std::string table = parameter(target, "table");
    const uint64_t after = std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
    const auto until = Clock::now() + std::chrono::milliseconds(
                                          std::strtoul(parameter(target, "waitMs").c_str(), nullptr, 10));
    while (true) {
      std::vector<std::pair<uint64_t, std::string>> found;
      for (const auto& [name, row] : rows_) {
        if (name.first == table && row.version > after) {
          found.emplace_back(row.version, printRow(table, name.second, row));
        }
      }
      if (!found.empty() || changed_.wait_until(lock, until) == std::cv_status::timeout) {
        std::sort(found.begin(), found.end());
        std::string rows;
        for (const auto& [version, text] : found) {
          rows += (rows.empty() ? "" : ",") + text;
        }
        return "{\"rows\":[" + rows + "]," + tail();
      }
    }
  }

  std::pair<int, std::string> write(const std::string& body) {
    for (const std::string& condition : objectsIn(body, "expectedRevision")) {
      const auto found = rows_.find({textIn(condition, "table"), textIn(condition, "key")});
      const size_t mark = condition.find("\"ver\":");
      const uint64_t expected =
          mark == std::string::npos ? 0 : std::strtoull(condition.c_str() + mark + 6, nullptr, 10);
      const uint64_t actual = found == rows_.end() || found->second.is_gone ? 0 : found->second.version;
      if (expected != actual) {
        const std::string rows =
            actual == 0 ? "" : printRow(found->first.first, found->first.second, found->second);
        return {412, "{\"rows\":[" + rows + "]," + tail()};
      }
    }
    ++version_;
    for (const std::string& row : objectsIn(body, "put")) {
      rows_[{textIn(row, "table"), textIn(row, "key")}] = {textIn(row, "value"), version_, false};
    }
    for (const std::string& row : objectsIn(body, "remove")) {
      rows_[{textIn(row, "table"), textIn(row, "key")}] = {"", version_, true};
    }
    changed_.notify_all();
    return {200, "{" + tail()};
  }

  void serve(int socket) {
    Reader reader(socket);
    Message request;
    while (reader.head(request, secondsNow() + 600) && reader.body(request, false, secondsNow() + 600)) {
      sleepFor(0.004);
      int status = 200;
      std::string body;
      {
        std::unique_lock<std::mutex> lock(mutex_);
        const std::string target = request.target();
        if (target.rfind("/v1/rows-get", 0) == 0) {
          body = read(target);
        } else if (target.rfind("/v1/rows-feed", 0) == 0) {
          body = follow(target, lock);
        } else if (target.rfind("/v1/rows-tx", 0) == 0) {
          std::tie(status, body) = write(request.body);
        } else {
          status = 404;
          body = "{}";
        }
      }
      const std::string head =
          "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Precondition Failed") +
          "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
      if (!sendAll(socket, head + body)) {
        return;
      }
      request = Message();
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::pair<std::string, std::string>, Row> rows_;
  uint64_t version_ = 1;
  Listener listener_;
};

// Rows as the operator and the servers write them.
inline std::string serverRow(const std::string& service, uint16_t port, const std::string& zone, int slots,
                             const std::string& model = "", int weights = 0) {
  std::string row = "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + std::to_string(port) +
                    "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) +
                    ",\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1";
  if (!model.empty()) {
    row += ",\"stage\":\"colocated\",\"models\":[{\"name\":\"" + model +
           "\",\"version\":" + std::to_string(weights) + ",\"adapters\":[]}]";
  }
  return row + "}";
}

// ------------------------------------------------------------------------------------------- gateways

// A gateway process, started with the command of the deploy file and settings as its template fills them in
// for a small deployment.
class Gateway {
 public:
  Gateway(std::string program, std::string folder, std::string id, std::string zone, uint16_t store)
      : program_(std::move(program)), folder_(std::move(folder)), id_(std::move(id)) {
    callers_ = freePort();
    readiness_ = freePort();
    const std::string settings =
        "gateway_id: \"" + id_ + "\"\nzone: \"" + zone +
        "\"\nregion: \"hu-central\"\nlisten:\n  callers: \"" + at(callers_) + "\"\n  readiness: \"" +
        at(readiness_) + "\"\n  peers: \"" + at(freePort()) + "\"\n  delegation: \"" + at(freePort()) +
        "\"\n  metrics: \"" + at(freePort()) + "\"\nstore: \"" + at(store) +
        "\"\nsite_is_new: true\ncapacity: 1000.0\n"
        "placement:\n  late_within_class: true\n  learned_speed: true\n"
        "bounds:\n  key_revocation: 5000ms\n  configuration_in_force: 2000ms\n  server_drain: 2000ms\n"
        "  stop_grace: 8s\n  order_lease: 3000ms\n  weights_in_force: 8000ms\n  retry_ratio: 0.2\n"
        "  retry_constant: 54\n";
    settings_ = folder_ + "/" + id_ + ".yaml";
    std::FILE* const file = std::fopen(settings_.c_str(), "w");
    std::fputs(settings.c_str(), file);
    std::fclose(file);
  }
  ~Gateway() { kill(SIGKILL); }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  const std::string& id() const { return id_; }
  uint16_t callers() const { return callers_; }

  void start() {
    const std::string log = folder_ + "/" + id_ + ".log";
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(output, 1);
      ::dup2(output, 2);
      ::execl(program_.c_str(), program_.c_str(), "serve", "--settings", settings_.c_str(), nullptr);
      ::_exit(127);
    }
  }

  // Whether the readiness address answers 200 within a second.
  bool isReady() const {
    const int socket = connectTo(readiness_);
    if (socket < 0) {
      return false;
    }
    Reader reader(socket);
    Message answer;
    const bool is_ready = sendAll(socket, "GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
                          reader.head(answer, secondsNow() + 1) && answer.status() == 200;
    ::close(socket);
    return is_ready;
  }

  bool awaitReady(double limit) const {
    const double end = secondsNow() + limit;
    while (!isReady()) {
      if (secondsNow() > end) {
        return false;
      }
      sleepFor(0.1);
    }
    return true;
  }

  void signal(int number) const {
    if (pid_ > 0) {
      ::kill(pid_, number);
    }
  }

  // Seconds of processor time that the process has used.
  double processorSeconds() const {
    std::FILE* const file = std::fopen(("/proc/" + std::to_string(pid_) + "/stat").c_str(), "r");
    if (file == nullptr) {
      return 0;
    }
    unsigned long user = 0;
    unsigned long system = 0;
    const int read =
        std::fscanf(file, "%*d %*s %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user, &system);
    std::fclose(file);
    return read == 2 ? static_cast<double>(user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK)) : 0;
  }

  void kill(int number) {
    if (pid_ > 0) {
      ::kill(pid_, number);
      int status = 0;
      ::waitpid(pid_, &status, 0);
      pid_ = -1;
    }
  }

 private:
  static std::string at(uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

  std::string program_;
  std::string folder_;
  std::string id_;
  std::string settings_;
  uint16_t callers_ = 0;
  uint16_t readiness_ = 0;
  pid_t pid_ = -1;
};

// A temporary folder that is removed at the end.
class Folder {
 public:
  Folder() {
    const char* const base = std::getenv("TMPDIR");
    std::string name = std::string(base == nullptr ? "/tmp" : base) + "/review-XXXXXX";
    path_ = ::mkdtemp(name.data()) == nullptr ? "" : name;
    if (path_.empty()) {
      std::perror("folder");
      std::exit(2);
    }
  }
  ~Folder() {
    if (std::getenv("KEEP") == nullptr) {
      std::error_code ignored;
      std::filesystem::remove_all(path_, ignored);
    }
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// TROUBLE=0: the same without the disruption.
inline bool hasTrouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace review
