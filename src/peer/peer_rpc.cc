#include "peer/peer_rpc.h"

#include <absl/time/clock.h>
#include <httplib.h>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <sstream>
#include <utility>

#include "types/bounded_input_archive.h"

namespace quincewick::peer {
namespace {

constexpr const char* kPath = "/peer";
constexpr const char* kContentType = "application/octet-stream";
constexpr int kUnauthorizedStatus = 401;
// Requests over one connection before it is closed.
constexpr size_t kRequestsPerConnection = 100'000;
// An idle connection holds a thread of the server: it is closed soon.
constexpr time_t kIdleConnectionSeconds = 1;
// Connections that may wait to be taken; the library's own 5 are too few for a herd.
constexpr int kBacklog = 512;
// How long the server's thread may take to start.
constexpr absl::Duration kStartTimeout = absl::Seconds(5);
// Open connections kept by a client, over all peers.
constexpr size_t kMaximumIdleConnections = 64;
// Room for the envelope around a body, in bytes.
constexpr size_t kEnvelopeRoom = 256;

// What a response's payload holds.
struct Reply {
  bool succeeded = false;
  uint8_t code = 0;
  uint8_t execution = 0;
  std::string text;  // the answer, or the error's message

  template <class Archive>
  void serialize(Archive& archive) {
    archive(succeeded, code, execution, text);
  }
};

std::string encodeReply(const Result<std::string>& result) {
  Reply reply;
  if (result) {
    reply = {true, 0, 0, result.value()};
  } else {
    const Error& error = result.error();
    reply = {false, static_cast<uint8_t>(error.code), static_cast<uint8_t>(error.execution), error.message};
  }
  std::ostringstream stream;
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(reply);
  return std::move(stream).str();
}

// The reply is authenticated, but a peer of another version may still send what this one can't read.
Result<std::string> decodeReply(const std::string& bytes) {
  Reply reply;
  try {
    BoundedInputArchive archive(bytes);
    archive(reply);
  } catch (const cereal::Exception&) {
    return fail(ErrorCode::kOutcomeUnknown, "peer answered with a malformed reply", Execution::kUnknown);
  }
  if (reply.succeeded) {
    return std::move(reply.text);
  }
  const bool known = reply.code <= static_cast<uint8_t>(ErrorCode::kInternal) &&
                     reply.execution <= static_cast<uint8_t>(Execution::kRan);
  if (!known) {
    return fail(ErrorCode::kOutcomeUnknown, "peer answered with an unknown error", Execution::kUnknown);
  }
  return fail(static_cast<ErrorCode>(reply.code), std::move(reply.text),
              static_cast<Execution>(reply.execution));
}

bool neverConnected(httplib::Error error) {
  return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout ||
         error == httplib::Error::BindIPAddress;
}

}  // namespace

Result<std::unique_ptr<PeerRpcServer>> PeerRpcServer::open(const Address& local, Authenticator& authenticator,
                                                           std::vector<Route> routes, uint32_t threads) {
  std::unique_ptr<PeerRpcServer> rpc(new PeerRpcServer(authenticator, std::move(routes)));
  httplib::Server& server = *rpc->server_;
  server.set_tcp_nodelay(true);
  server.set_keep_alive_max_count(kRequestsPerConnection);
  server.set_keep_alive_timeout(kIdleConnectionSeconds);
  server.set_payload_max_length(kMaximumBodySize);
  server.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
  PeerRpcServer* self = rpc.get();
  server.Post(kPath, [self](const httplib::Request& request, httplib::Response& response) {
    const Result<Envelope> envelope = self->authenticator_.open(Channel::kRequest, request.body);
    if (!envelope) {
      response.status = kUnauthorizedStatus;
      return;
    }
    std::string reply = encodeReply(self->dispatch(envelope.value()));
    response.set_content(self->authenticator_
                             .seal(Channel::kResponse, envelope.value().sender, envelope.value().module,
                                   std::move(reply), envelope.value().sequence)
                             .bytes,
                         kContentType);
  });
  socket_t listener = INVALID_SOCKET;
  server.set_socket_options([&listener](socket_t socket) {
    listener = socket;
    const int enabled = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  });
  const int port = local.port == 0 ? server.bind_to_any_port(local.host)
                                   : (server.bind_to_port(local.host, local.port) ? local.port : -1);
  if (port <= 0) {
    return fail(ErrorCode::kUnavailable, "can't bind the peer port at " + local.host);
  }
  ::listen(listener, kBacklog);
  rpc->local_ = {local.host, static_cast<uint16_t>(port)};
  rpc->thread_ = std::thread([self] { self->server_->listen_after_bind(); });
  // Connections queue from here on; but a server that does not run yet can't be stopped.
  const absl::Time deadline = absl::Now() + kStartTimeout;
  while (!server.is_running()) {
    if (absl::Now() > deadline) {
      return fail(ErrorCode::kInternal, "the peer server did not start");
    }
    absl::SleepFor(absl::Milliseconds(1));
  }
  return rpc;
}

PeerRpcServer::PeerRpcServer(Authenticator& authenticator, std::vector<Route> routes)
    : authenticator_(authenticator),
      routes_(std::move(routes)),
      server_(std::make_unique<httplib::Server>()) {}

PeerRpcServer::~PeerRpcServer() {
  server_->stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

Result<std::string> PeerRpcServer::dispatch(const Envelope& request) const {
  for (const Route& route : routes_) {
    if (route.module == request.module) {
      return route.handler(request);
    }
  }
  return fail(ErrorCode::kNotFound, "no such module at this node");
}

PeerRpcClient::PeerRpcClient(Authenticator& authenticator) : authenticator_(authenticator) {}

PeerRpcClient::~PeerRpcClient() = default;

Result<std::string> PeerRpcClient::call(const NodeId& to, const Address& address, PeerModule module,
                                        std::string payload, absl::Duration timeout) {
  if (payload.size() + kEnvelopeRoom > kMaximumBodySize) {
    return fail(ErrorCode::kInvalidArgument, "peer request is too long");
  }
  const Authenticator::Sealed sealed = authenticator_.seal(Channel::kRequest, to, module, std::move(payload));
  std::unique_ptr<httplib::Client> client = takeClient(address);
  const auto limit = absl::ToChronoMicroseconds(timeout);
  client->set_connection_timeout(limit);
  client->set_read_timeout(limit);
  client->set_write_timeout(limit);
  const httplib::Result response = client->Post(kPath, sealed.bytes, kContentType);
  if (!response) {
    if (neverConnected(response.error())) {
      return fail(ErrorCode::kUnavailable, "peer can't be reached");
    }
    return fail(ErrorCode::kOutcomeUnknown, "peer did not answer", Execution::kUnknown);
  }
  returnClient(address, std::move(client));
  // Only a sealed response is believed: anybody could have written the status.
  const Result<Envelope> envelope = authenticator_.open(Channel::kResponse, response->body, sealed.sequence);
  if (!envelope || envelope.value().sender != to) {
    return fail(ErrorCode::kOutcomeUnknown, "peer's answer is not authentic", Execution::kUnknown);
  }
  return decodeReply(envelope.value().payload);
}

std::unique_ptr<httplib::Client> PeerRpcClient::takeClient(const Address& address) {
  {
    const absl::MutexLock lock(&mutex_);
    const auto entry = idle_.find(address);
    if (entry != idle_.end() && !entry->second.empty()) {
      std::unique_ptr<httplib::Client> client = std::move(entry->second.back());
      entry->second.pop_back();
      --idle_count_;
      return client;
    }
  }
  auto client = std::make_unique<httplib::Client>(address.host, address.port);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  return client;
}

void PeerRpcClient::returnClient(const Address& address, std::unique_ptr<httplib::Client> client) {
  const absl::MutexLock lock(&mutex_);
  if (idle_count_ < kMaximumIdleConnections) {
    idle_[address].push_back(std::move(client));
    ++idle_count_;
  }
}

}  // namespace quincewick::peer
