#include "http/http_server.h"

#include <sys/socket.h>

#include <utility>

namespace quincewick::http {
namespace {

// httplib listens with a backlog of 5, which a burst of connections overflows.
constexpr int kListenBacklog = 1024;
constexpr size_t kMaxRequestsPerConnection = 1'000'000;
// Also bounds how long stop() waits for an idle connection.
constexpr time_t kKeepAliveTimeoutSeconds = 5;

std::unique_ptr<httplib::Server> makeServer(const std::optional<TlsFiles>& tls) {
  if (tls.has_value()) {
    return std::make_unique<httplib::SSLServer>(tls->certificate.c_str(), tls->key.c_str());
  }
  return std::make_unique<httplib::Server>();
}

void allowAddressReuse(int socket) {
  const int enabled = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
}

}  // namespace

HttpServer::HttpServer(const HttpServerOptions& options) : server_(makeServer(options.tls)) {
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
  const size_t worker_threads = options.worker_threads;
  server_->new_task_queue = [worker_threads] { return new httplib::ThreadPool(worker_threads); };
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
