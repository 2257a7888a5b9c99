#include "reactor/simple_http_server.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "reactor/message_reader.h"

namespace quincewick::reactor {
namespace {

constexpr MessageLimits kRequestLimits = {8192, 8192};
// Behind a request that is being handled, and of responses that the peer doesn't take while it sends more.
constexpr size_t kMaxHeldBytes = 65536;

}  // namespace

// Handles the requests of one connection.
class SimpleHttpServer::Session final : public ConnectionHandler,
                                        public std::enable_shared_from_this<Session> {
 public:
  Session(SimpleHttpServer& server, Connection::Socket socket)
      : server_(server),
        connection_(std::make_shared<Connection>(std::move(socket))),
        reader_(MessageKind::kRequest, kRequestLimits) {}
  ~Session() override { connection_->abort(); }

  void start() { connection_->start(this); }

 private:
  void onBytes(std::string_view bytes) override {
    reader_.take(bytes);
    if (reader_.unreadBytes() > kMaxHeldBytes || connection_->unsentBytes() > kMaxHeldBytes) {
      end(false);
      return;
    }
    if (!is_handling_request_) {
      readOn();
    }
  }

  // Handles one request at a time: the next one waits for the response.
  void readOn() {
    while (!is_handling_request_ && reader_.status() == ReadStatus::kDone) {
      is_handling_request_ = true;
      server_.handler_(reader_.head(), reader_.takeBody(),
                       [weak = weak_from_this()](const SimpleHttpResponse& response) {
                         if (const auto self = weak.lock()) {
                           self->handleResponse(response);
                         }
                       });
    }
    if (!is_handling_request_ && reader_.status() != ReadStatus::kNeedsMore) {
      end(false);
    }
  }

  void handleResponse(const SimpleHttpResponse& response) {
    if (!std::exchange(is_handling_request_, false)) {
      return;
    }
    const bool keeps_alive = reader_.keepsAlive();
    sendResponse(response, keeps_alive);
    if (!keeps_alive) {
      end(true);
      return;
    }
    reader_.next();
    reader_.take({});
    if (reader_.status() == ReadStatus::kNeedsMore) {
      return;
    }
    // Posted, as the handler may have responded synchronously.
    boost::asio::post(server_.reactor_, [weak = weak_from_this()] {
      if (const auto self = weak.lock(); self != nullptr && !self->is_handling_request_) {
        self->readOn();
      }
    });
  }

  void onEnd(EndKind /*kind*/) override { end(false); }

  void sendResponse(const SimpleHttpResponse& response, bool keeps_alive) {
    HeaderFields fields = {{"Content-Length", std::to_string(response.body.size())},
                           {"Content-Type", response.content_type}};
    fields.insert(fields.end(), response.further_fields.begin(), response.further_fields.end());
    if (!keeps_alive) {
      fields.push_back({"Connection", "close"});
    }
    connection_->send(printResponseHead(response.status, reasonOf(response.status), fields) + response.body);
  }

  void end(bool linger) {
    if (linger) {
      connection_->closeWhenSent();
    } else {
      connection_->abort();
    }
    is_handling_request_ = true;  // nothing more is read
    // Posted, as this runs within the session that is to be destroyed. The session of a lingering connection
    // stays in `sessions_`.
    if (!linger) {
      boost::asio::post(server_.reactor_, [&server = server_, self = this] { server.sessions_.erase(self); });
    }
  }

  SimpleHttpServer& server_;
  std::shared_ptr<Connection> connection_;
  MessageReader reader_;
  bool is_handling_request_ = false;
};

SimpleHttpServer::SimpleHttpServer(boost::asio::io_context& reactor, const Address& address,
                                   const Handler& handler)
    : SimpleHttpServer(reactor, address, kDefaultMaxConnections,
                       [handler](const HttpHead& request, const std::string& /*body*/,
                                 const Respond& respond) { respond(handler(request)); }) {}

SimpleHttpServer::SimpleHttpServer(boost::asio::io_context& reactor, const Address& address,
                                   size_t max_connections, AsyncHandler handler)
    : reactor_(reactor),
      handler_(std::move(handler)),
      listener_(reactor, address, [this, max_connections](Connection::Socket socket) {
        if (sessions_.size() >= max_connections) {
          sessions_.clear();  // clients retry; idle connections must not keep new ones out
        }
        auto session = std::make_shared<Session>(*this, std::move(socket));
        sessions_.emplace(session.get(), session);
        session->start();
      }) {}

SimpleHttpServer::~SimpleHttpServer() = default;

}  // namespace quincewick::reactor
