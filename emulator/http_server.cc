#include "emulator/http_server.h"

#include <absl/time/clock.h>
#include <sys/socket.h>
#include <unistd.h>

#include "emulator/worker_pool.h"

namespace quincewick::emulator {
namespace {

constexpr size_t kMaximumThreads = 2000;
constexpr size_t kRequestsPerConnection = 1'000'000;
constexpr int kListenBacklog = 1024;
constexpr size_t kMaximumBodyBytes = size_t{64} << 20;
constexpr absl::Duration kKeepAlive = absl::Seconds(60);
constexpr absl::Duration kReadTimeout = absl::Seconds(30);
constexpr absl::Duration kWriteTimeout = absl::Seconds(30);
constexpr absl::Duration kStartPause = absl::Milliseconds(1);
constexpr int kStartPauses = 5000;

void allowQuickRebinding(socket_t socket) {
  const int yes = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
}

}  // namespace

HttpServer::HttpServer() {
  new_task_queue = [] { return new WorkerPool(kMaximumThreads); };
  set_keep_alive_max_count(kRequestsPerConnection);
  set_payload_max_length(kMaximumBodyBytes);
  set_tcp_nodelay(true);
  set_socket_options(allowQuickRebinding);
}

HttpServer::~HttpServer() {
  stopServing();
}

Result<uint16_t> HttpServer::start(const Address& address) {
  int port = address.port;
  if (port == 0) {
    port = bind_to_any_port(address.host);
  } else if (!bind_to_port(address.host, port)) {
    port = -1;
  }
  if (port <= 0) {
    return fail(ErrorCode::kUnavailable,
                "can't listen on " + address.host + ":" + std::to_string(address.port));
  }
  // The library's own backlog is 5; a second call on the bound socket raises it.
  ::listen(svr_sock_, kListenBacklog);
  listener_ = std::thread([this] { listen_after_bind(); });
  for (int pause = 0; pause < kStartPauses && !is_running(); ++pause) {
    absl::SleepFor(kStartPause);
  }
  return static_cast<uint16_t>(port);
}

void HttpServer::stopServing() {
  if (!listener_.joinable()) {
    return;
  }
  stopping_ = true;
  stop();
  cutAll();
  listener_.join();
}

void HttpServer::cut(const httplib::Request& request) {
  const absl::MutexLock lock(&mutex_);
  const auto found = open_.find(request.get_header_value(kConnectionHeader));
  if (found != open_.end()) {
    found->second.connection->cut();
  }
}

void HttpServer::cutWhere(const std::function<bool(const httplib::Headers&)>& matches) {
  const absl::MutexLock lock(&mutex_);
  for (auto& [id, open] : open_) {
    if (matches(open.headers)) {
      open.connection->cut();
    }
  }
}

void HttpServer::cutAll() {
  cutWhere([](const httplib::Headers&) { return true; });
}

bool HttpServer::process_and_close_socket(socket_t socket) {
  Connection connection(socket, kReadTimeout, kWriteTimeout);
  std::string id;
  {
    const absl::MutexLock lock(&mutex_);
    id = std::to_string(++last_connection_);
    open_[id] = Open{&connection, {}};
  }
  if (reachable_) {
    serve(connection, id);
  }
  {
    const absl::MutexLock lock(&mutex_);
    open_.erase(id);
  }
  ::shutdown(socket, SHUT_RDWR);
  ::close(socket);
  return true;
}

void HttpServer::serve(Connection& connection, const std::string& id) {
  const auto remember = [&](httplib::Request& request) {
    request.headers.erase(kConnectionHeader);
    request.set_header(kConnectionHeader, id);
    const absl::MutexLock lock(&mutex_);
    open_[id].headers = request.headers;
  };
  for (size_t count = 0; count < kRequestsPerConnection; ++count) {
    if (stopping_ || connection.isCut() || !connection.waitForRequest(kKeepAlive)) {
      return;
    }
    bool closed = false;
    if (!process_request(connection, count + 1 == kRequestsPerConnection, closed, remember) || closed) {
      return;
    }
  }
}

}  // namespace quincewick::emulator
