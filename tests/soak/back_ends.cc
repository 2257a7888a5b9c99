#include "back_ends.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <utility>

#include "reactor/message_reader.h"

namespace quincewick::soak {
namespace {

constexpr absl::Duration kShortestWork = absl::Milliseconds(5);
constexpr uint64_t kWorkSpreadMs = 40;
constexpr absl::Duration kBetweenEvents = absl::Milliseconds(20);
constexpr const char* kAttempt = "Quincewick-Attempt-Id";
constexpr const char* kSignature = "Quincewick-Response-Signature";

std::string fieldOf(const HttpHead& head, const char* name) {
  const std::string* const value = findField(head.fields, name);
  return value == nullptr ? "" : *value;
}

}  // namespace

// One connection of a gateway.
class BackEnd::Talk final : public reactor::ConnectionHandler, public std::enable_shared_from_this<Talk> {
 public:
  Talk(BackEnd& back_end, size_t gateway, reactor::Connection::Socket socket)
      : back_end_(back_end),
        gateway_(gateway),
        connection_(std::make_shared<reactor::Connection>(std::move(socket))),
        reader_(reactor::MessageKind::kRequest, {}) {}

  void start() { connection_->start(this); }
  size_t gateway() const { return gateway_; }
  void silence() { is_silent_ = true; }
  void reset() {
    if (std::exchange(is_open_, false)) {
      noteBrokenOff();
      connection_->abort();
    }
  }

 private:
  void onBytes(std::string_view bytes) override {
    if (is_silent_) {
      return;
    }
    reader_.take(bytes);
    serveNext();
  }
  void onEnd(reactor::EndKind /*kind*/) override { is_open_ = false; }

  void serveNext() {
    if (!is_busy_ && is_open_ && reader_.status() == reactor::ReadStatus::kDone) {
      is_busy_ = true;
      serve();
    }
  }

  void serve() {
    const HttpHead& head = reader_.head();
    attempt_ = fieldOf(head, kAttempt);
    Arrival arrival;
    arrival.attempt = attempt_;
    arrival.back_end = back_end_.id_;
    arrival.start = back_end_.started_;
    arrival.service = back_end_.service_;
    arrival.gateway = back_end_.gateways_[gateway_];
    arrival.key_owner = fieldOf(head, "Quincewick-Tenant");
    arrival.at = reactor::steadyNow();
    arrival_ = back_end_.history_.arrivals.size();
    back_end_.history_.arrivals.push_back(arrival);
    if (fieldOf(head, "Quincewick-Target-Instance") != back_end_.id_) {
      answer(421, {{"Quincewick-Not-Executed", "1"}, {"Quincewick-Instance-Id", back_end_.id_}}, "");
      return;
    }
    if (back_end_.speech_.rest) {
      answer(503, {{"Quincewick-Not-Executed", "1"}}, "");
      return;
    }
    if (back_end_.misbehaviour_.refuses && back_end_.misbehavesNow()) {
      answer(503, {{"Quincewick-Not-Executed", "1"}}, "");
      return;
    }
    note().ran = true;
    const absl::Duration work =
        kShortestWork + absl::Milliseconds(static_cast<int64_t>(back_end_.random_() % kWorkSpreadMs));
    const bool is_stream = head.target.starts_with("/stream") || head.target.starts_with("/resumed");
    int first = 1;
    int last_event = 0;
    if (absl::SimpleAtoi(fieldOf(head, "Last-Event-Id"), &last_event)) {
      first = last_event + 1;
    }
    later(work, [this, is_stream, first] {
      if (is_stream) {
        beginStream(first);
      } else {
        finishPlain();
      }
    });
  }

  void finishPlain() {
    const Misbehaviour& misbehaviour = back_end_.misbehaviour_;
    if (misbehaviour.loses_answers && back_end_.misbehavesNow()) {
      reset();
      return;
    }
    const bool fails = misbehaviour.fails && back_end_.misbehavesNow();
    const std::string body =
        absl::StrCat(fails ? "failure" : "answer", " to ", attempt_, " of ", back_end_.id_);
    const std::string signature = absl::StrCat(back_end_.id_, ".", attempt_, ".", arrival_);
    note().status = fails ? 500 : 200;
    note().signature = signature;
    note().body = body;
    if (misbehaviour.cuts_answers && back_end_.misbehavesNow()) {
      sendHead(200, {{kSignature, signature}, {"Content-Length", absl::StrCat(body.size())}});
      connection_->send(body.substr(0, body.size() / 2));
      endInTheMiddle();
      return;
    }
    answer(fails ? 500 : 200, {{kSignature, signature}}, body);
  }

  void beginStream(int first) {
    const std::string signature = absl::StrCat(back_end_.id_, ".", attempt_, ".", arrival_);
    note().signature = signature;
    note().status = 200;
    sendHead(
        200,
        {{kSignature, signature}, {"Transfer-Encoding", "chunked"}, {"Content-Type", "text/event-stream"}});
    sendEvent(first);
  }

  void sendEvent(int number) {
    if (number > kEventsOfAStream) {
      connection_->send(kLastChunk);
      done();
      return;
    }
    const bool is_cut = back_end_.misbehaviour_.cuts_answers && number > 2 && back_end_.misbehavesNow();
    const std::string event = absl::StrCat("id: ", number, "\ndata: ", attempt_, " ", number, "\n\n");
    if (is_cut) {
      connection_->send(printChunk(event.substr(0, event.size() / 2)));
      endInTheMiddle();
      return;
    }
    connection_->send(printChunk(event));
    later(kBetweenEvents, [this, number] { sendEvent(number + 1); });
  }

  void answer(int status, HeaderFields fields, const std::string& body) {
    fields.push_back({"Content-Length", absl::StrCat(body.size())});
    sendHead(status, std::move(fields));
    connection_->send(body);
    done();
  }

  void sendHead(int status, HeaderFields fields) {
    fields.push_back({kAttempt, attempt_});
    speak(fields);
    note().head_sent = reactor::steadyNow();
    connection_->send(printResponseHead(status, reasonOf(status), fields));
  }

  // Adds what the back end says of itself, and notes what of it can be read.
  void speak(HeaderFields& fields) {
    const Speech& speech = back_end_.speech_;
    if (speech.is_ill) {
      fields.push_back({"Server-Limit", "-3"});
      fields.push_back({"Server-Leaving", "perhaps"});
      fields.push_back({"Retry-After", "tomorrow"});
      return;
    }
    if (speech.leaves) {
      fields.push_back({"Server-Leaving", "1"});
    }
    if (speech.rate) {
      fields.push_back({"Server-Limit", absl::StrCat(*speech.rate)});
    }
    if (speech.rest) {
      fields.push_back({"Retry-After", absl::StrCat(absl::ToDoubleSeconds(*speech.rest))});
    }
    note().said_leaving = speech.leaves;
    note().named_rate = speech.rate;
    note().asked_rest = speech.rest;
  }

  void done() {
    is_busy_ = false;
    reader_.next();
    reader_.take({});
    serveNext();
  }

  void endInTheMiddle() {
    noteBrokenOff();
    is_open_ = false;
    connection_->closeWhenSent();
  }

  Arrival& note() { return back_end_.history_.arrivals[arrival_]; }
  void noteBrokenOff() {
    if (is_busy_) {
      note().is_broken_off = true;
    }
  }

  // A silent connection says nothing more, whatever its request does.
  void later(absl::Duration after, const std::function<void()>& action) {
    back_end_.timers_.schedule(reactor::steadyNow() + after, [self = shared_from_this(), action] {
      if (self->is_open_ && !self->is_silent_) {
        action();
      } else {
        self->noteBrokenOff();
      }
    });
  }

  BackEnd& back_end_;
  size_t gateway_;
  std::shared_ptr<reactor::Connection> connection_;
  reactor::MessageReader reader_;
  bool is_open_ = true;
  bool is_busy_ = false;
  bool is_silent_ = false;
  std::string attempt_;
  size_t arrival_ = 0;
};

BackEnd::BackEnd(boost::asio::io_context& reactor, reactor::TimerQueue& timers, History& history,
                 std::string id, std::string service, std::vector<std::string> gateways, uint64_t seed,
                 absl::Time started, const std::vector<uint16_t>& ports)
    : reactor_(reactor),
      timers_(timers),
      history_(history),
      id_(std::move(id)),
      service_(std::move(service)),
      started_(started),
      gateways_(std::move(gateways)),
      random_(seed) {
  for (size_t gateway = 0; gateway < gateways_.size(); ++gateway) {
    listeners_.push_back(std::make_unique<reactor::Listener>(
        reactor_, Address{"127.0.0.1", ports.empty() ? uint16_t{0} : ports[gateway]},
        [this, gateway](reactor::Connection::Socket socket) { accept(gateway, std::move(socket)); }));
  }
}

BackEnd::~BackEnd() = default;

Address BackEnd::addressFor(size_t gateway) const {
  return {"127.0.0.1", listeners_[gateway]->port()};
}

std::vector<uint16_t> BackEnd::ports() const {
  std::vector<uint16_t> ports;
  for (const auto& listener : listeners_) {
    ports.push_back(listener->port());
  }
  return ports;
}

void BackEnd::accept(size_t gateway, reactor::Connection::Socket socket) {
  talks_.push_back(std::make_shared<Talk>(*this, gateway, std::move(socket)));
  talks_.back()->start();
}

void BackEnd::resetConnections(size_t gateway) {
  for (const auto& talk : talks_) {
    if (talk->gateway() == gateway) {
      talk->reset();
    }
  }
}

void BackEnd::silenceConnections(size_t gateway) {
  for (const auto& talk : talks_) {
    if (talk->gateway() == gateway) {
      talk->silence();
    }
  }
}

void BackEnd::crash() {
  for (const auto& talk : talks_) {
    talk->reset();
  }
  for (const auto& listener : listeners_) {
    listener->close();
  }
}

}  // namespace quincewick::soak
