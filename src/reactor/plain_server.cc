#include "reactor/plain_server.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "reactor/message_reader.h"

namespace quincewick::reactor {
namespace {

constexpr MessageLimits kQuestionLimits = {8192, 8192};
constexpr size_t kTalksAtMost = 64;

}  // namespace

// Questions on one connection.
class PlainServer::Talk final : public ConnectionHandler {
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
    while (reader_.status() == ReadStatus::kDone) {
      const bool keeps_alive = reader_.keepsAlive();
      answer(server_.handler_(reader_.head()), keeps_alive);
      if (!keeps_alive) {
        end(true);
        return;
      }
      reader_.next();
      reader_.take({});
    }
    if (reader_.status() != ReadStatus::kNeedsMore) {
      end(false);
    }
  }

  void onEnd(EndKind /*kind*/) override { end(false); }

  void answer(const PlainAnswer& answer, bool keeps_alive) {
    HeaderFields fields = {{"Content-Length", std::to_string(answer.body.size())},
                           {"Content-Type", answer.content_type}};
    if (!keeps_alive) {
      fields.push_back({"Connection", "close"});
    }
    connection_->send(printAnswerHead(answer.status, reasonOf(answer.status), fields) + answer.body);
  }

  void end(bool linger) {
    if (linger) {
      connection_->closeWhenSent();
    } else {
      connection_->abort();
    }
    // Called from within this object: it goes once the reactor is back, and a lingering connection with it
    // when the other side has closed.
    if (!linger) {
      boost::asio::post(server_.reactor_, [&server = server_, self = this] { server.talks_.erase(self); });
    }
  }

  PlainServer& server_;
  std::shared_ptr<Connection> connection_;
  MessageReader reader_;
};

PlainServer::PlainServer(boost::asio::io_context& reactor, const Address& address, Handler handler)
    : reactor_(reactor),
      handler_(std::move(handler)),
      listener_(reactor, address, [this](Connection::Socket socket) {
        if (talks_.size() >= kTalksAtMost) {
          talks_.clear();  // those who ask come again; none may keep others out
        }
        auto talk = std::make_shared<Talk>(*this, std::move(socket));
        talks_.emplace(talk.get(), talk);
        talk->start();
      }) {}

PlainServer::~PlainServer() = default;

}  // namespace quincewick::reactor
