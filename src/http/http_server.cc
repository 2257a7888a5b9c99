#include "http/http_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "http/guarded_server.h"

namespace quincewick::http {
namespace {

// httplib listens with a backlog of 5, which a burst of connections overflows.
constexpr int kListenBacklog = 1024;
constexpr size_t kMaxRequestsPerConnection = 1'000'000;
// Also bounds how long stop() waits for an idle connection.
constexpr time_t kKeepAliveTimeoutSeconds = 5;

// Over TLS the library reads its connections itself: they aren't guarded.
std::unique_ptr<httplib::Server> makeServer(const HttpServerOptions& options) {
  const size_t worker_threads = options.worker_threads;
  if (options.tls.has_value()) {
    auto server =
        std::make_unique<httplib::SSLServer>(options.tls->certificate.c_str(), options.tls->key.c_str());
    server->new_task_queue = [worker_threads] { return new httplib::ThreadPool(worker_threads); };
    return server;
  }
  return std::make_unique<GuardedServer>(worker_threads,
                                         std::max(options.input_bytes, 2 * options.maximum_body_bytes));
}

void allowAddressReuse(int socket) {
  const int enabled = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
}

}  // namespace

HttpServer::HttpServer(const HttpServerOptions& options) : server_(makeServer(options)) {
  applyOptions(options);
}

HttpServer::~HttpServer() {
  stop();
}

void HttpServer::applyOptions(const HttpServerOptions& options) {
  server_->set_tcp_nodelay(true);
  server_->set_keep_alive_max_count(kMaxRequestsPerConnection);
  server_->set_keep_alive_timeout(kKeepAliveTimeoutSeconds);
  server_->set_payload_max_length(options.maximum_body_bytes);
  server_->set_socket_options([this](int socket) {
    allowAddressReuse(socket);
    listening_socket_ = socket;
  });
}

Result<uint16_t> HttpServer::start(const Address& address) {
  if (!server_->is_valid()) {
    return fail(ErrorCode::kInvalidArgument, "the TLS certificate or key can't be used");
  }
  int port = address.port;
  if (port == 0) {
    port = server_->bind_to_any_port(address.host);
  } else if (!server_->bind_to_port(address.host, port)) {
    port = -1;
  }
  if (port <= 0) {
    return fail(ErrorCode::kUnavailable, "can't bind " + address.host + ":" + std::to_string(address.port));
  }
  ::listen(listening_socket_, kListenBacklog);
  accept_thread_ = std::thread([this] { server_->listen_after_bind(); });
  return static_cast<uint16_t>(port);
}

void HttpServer::stop() {
  if (!accept_thread_.joinable()) {
    return;
  }
  // httplib ignores stop() until its accept loop is running.
  while (!server_->is_running()) {
    std::this_thread::yield();
  }
  server_->stop();
  accept_thread_.join();
}

}  // namespace quincewick::http
