#include "reactor/plain_server.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "reactor/message_reader.h"

namespace quincewick::reactor {
namespace {

constexpr MessageLimits kQuestionLimits = {8192, 8192};

}  // namespace

// Questions on one connection.
class PlainServer::Talk final : public ConnectionHandler, public std::enable_shared_from_this<Talk> {
 public:
  Talk(PlainServer& server, Connection::Socket socket)
      : server_(server),
        connection_(std::make_shared<Connection>(std::move(socket))),
        reader_(MessageKind::kRequest, kQuestionLimits) {}
  ~Talk() override { connection_->abort(); }

  void start() { connection_->start(this); }

 private:
  void onBytes(std::string_view bytes) override {
    reader_.take(bytes);
    if (!is_answering_) {
      readOn();
    }
  }

  // One question at a time: the next one waits for the answer.
  void readOn() {
    while (!is_answering_ && reader_.status() == ReadStatus::kDone) {
      is_answering_ = true;
      server_.handler_(reader_.head(), reader_.takeBody(),
                       [weak = weak_from_this()](const PlainAnswer& answer) {
                         if (const auto self = weak.lock()) {
                           self->takeAnswer(answer);
                         }
                       });
    }
    if (!is_answering_ && reader_.status() != ReadStatus::kNeedsMore) {
      end(false);
    }
  }

  void takeAnswer(const PlainAnswer& given) {
    if (!std::exchange(is_answering_, false)) {
      return;
    }
    const bool keeps_alive = reader_.keepsAlive();
    answer(given, keeps_alive);
    if (!keeps_alive) {
      end(true);
      return;
    }
    reader_.next();
    reader_.take({});
    if (reader_.status() == ReadStatus::kNeedsMore) {
      return;
    }
    // Not from within the handler, which may have answered at once.
    boost::asio::post(server_.reactor_, [weak = weak_from_this()] {
      if (const auto self = weak.lock(); self != nullptr && !self->is_answering_) {
        self->readOn();
      }
    });
  }

  void onEnd(EndKind /*kind*/) override { end(false); }

  void answer(const PlainAnswer& answer, bool keeps_alive) {
    HeaderFields fields = {{"Content-Length", std::to_string(answer.body.size())},
                           {"Content-Type", answer.content_type}};
    fields.insert(fields.end(), answer.further_fields.begin(), answer.further_fields.end());
    if (!keeps_alive) {
      fields.push_back({"Connection", "close"});
    }
    connection_->send(printResponseHead(answer.status, reasonOf(answer.status), fields) + answer.body);
  }

  void end(bool linger) {
    if (linger) {
      connection_->closeWhenSent();
    } else {
      connection_->abort();
    }
    is_answering_ = true;  // nothing more is read
    // Called from within this object: it goes once the reactor is back, and a lingering connection with it
    // when the other side has closed.
    if (!linger) {
      boost::asio::post(server_.reactor_, [&server = server_, self = this] { server.talks_.erase(self); });
    }
  }

  PlainServer& server_;
  std::shared_ptr<Connection> connection_;
  MessageReader reader_;
  bool is_answering_ = false;
};

PlainServer::PlainServer(boost::asio::io_context& reactor, const Address& address, const Handler& handler)
    : PlainServer(reactor, address, kConnectionsAtMost,
                  [handler](const HttpHead& question, const std::string& /*body*/, const Respond& respond) {
                    respond(handler(question));
                  }) {}

PlainServer::PlainServer(boost::asio::io_context& reactor, const Address& address, size_t connections_at_most,
                         DeferringHandler handler)
    : reactor_(reactor),
      handler_(std::move(handler)),
      listener_(reactor, address, [this, connections_at_most](Connection::Socket socket) {
        if (talks_.size() >= connections_at_most) {
          talks_.clear();  // those who ask come again; none may keep others out
        }
        auto talk = std::make_shared<Talk>(*this, std::move(socket));
        talks_.emplace(talk.get(), talk);
        talk->start();
      }) {}

PlainServer::~PlainServer() = default;

}  // namespace quincewick::reactor
