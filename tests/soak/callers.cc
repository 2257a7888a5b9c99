#include "callers.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <utility>

#include "reactor/connection.h"
#include "reactor/message_reader.h"

namespace quincewick::soak {
namespace {

constexpr absl::Duration kPollInterval = absl::Seconds(1);
constexpr int kMissesAtMost = 2;
constexpr int kOk = 200;
constexpr uint64_t kLongestThoughtMs = 120;
constexpr absl::Duration kAfterTrouble = absl::Milliseconds(150);
constexpr absl::Duration kDeadline = absl::Seconds(4);
constexpr absl::Duration kLongestWait = absl::Seconds(6);
constexpr uint64_t kLeavesOneIn = 40;  // of its requests a caller gives up early

const char* pathOf(RequestKind kind) {
  switch (kind) {
    case RequestKind::kRepeatable:
      return "/safe/";
    case RequestKind::kOnce:
      return "/once/";
    case RequestKind::kResumableStream:
      return "/resumed/";
    case RequestKind::kStream:
      return "/stream/";
  }
  return "/";
}

}  // namespace

Entry::Entry(boost::asio::io_context& reactor, reactor::TimerQueue& timers, const Processes& processes)
    : reactor_(reactor), timers_(timers), processes_(processes), gateways_(processes.count()) {
  for (size_t gateway = 0; gateway < gateways_.size(); ++gateway) {
    poll(gateway);
  }
}

void Entry::poll(size_t gateway) {
  Gateway& asked = gateways_[gateway];
  asked.caller =
      std::make_unique<reactor::HttpClient>(reactor_, timers_, processes_.place(gateway).readiness);
  asked.caller->call({"GET", "/ready", {{"Host", "h"}}, ""}, kPollInterval,
                     [this, gateway](const Result<reactor::HttpResponse>& reply) {
                       Gateway& answered = gateways_[gateway];
                       const bool is_ready = reply.has_value() && reply.value().head.status == kOk;
                       answered.misses = is_ready ? 0 : answered.misses + 1;
                       answered.is_in = is_ready || (answered.is_in && answered.misses < kMissesAtMost);
                     });
  timers_.schedule(reactor::steadyNow() + kPollInterval, [this, gateway] { poll(gateway); });
}

size_t Entry::choose(uint64_t caller) {
  const size_t first = (caller * 7 + choices_++) % gateways_.size();
  for (size_t step = 0; step < gateways_.size(); ++step) {
    const size_t gateway = (first + step) % gateways_.size();
    if (gateways_[gateway].is_in) {
      return gateway;
    }
  }
  return first;
}

// One connection, with one request at a time.
class Caller::Talk final : public reactor::ConnectionHandler, public std::enable_shared_from_this<Talk> {
 public:
  Talk(Caller& caller, size_t gateway)
      : caller_(caller), gateway_(gateway), reader_(reactor::MessageKind::kResponse, {}) {}

  bool isUsable() const { return connection_ != nullptr && connection_->isOpen() && keeps_open_; }
  size_t gateway() const { return gateway_; }

  void ask(const Request& request, const std::string& bytes, absl::Duration leaves_after) {
    place_ = caller_.history_.requests.size();
    caller_.history_.requests.push_back(request);
    bytes_ = bytes;
    is_busy_ = true;
    const auto self = shared_from_this();
    limit_ = caller_.timers_.schedule(reactor::steadyNow() + leaves_after,
                                      [self] { self->finish(RequestEnd::kLeft); });
    if (connection_ != nullptr) {
      send();
      return;
    }
    connection_ = reactor::Connection::connect(caller_.reactor_, caller_.processes_.place(gateway_).callers,
                                               [self](reactor::ConnectResult result) {
                                                 if (result == reactor::ConnectResult::kConnected) {
                                                   self->connection_->start(self.get());
                                                   self->send();
                                                 } else {
                                                   self->finish(RequestEnd::kUnsent);
                                                 }
                                               });
  }

  void close() {
    if (connection_ != nullptr) {
      connection_->abort();
    }
  }

 private:
  Request& note() { return caller_.history_.requests[place_]; }

  void send() {
    note().sent = reactor::steadyNow();
    if (is_used_) {
      reader_.next();
    }
    is_used_ = true;
    events_ = "";
    connection_->send(bytes_);
  }

  void onBytes(std::string_view bytes) override {
    const auto self = shared_from_this();
    if (!is_busy_) {
      close();  // bytes that nobody asked for
      return;
    }
    reader_.take(bytes);
    if (!reader_.headComplete()) {
      return;
    }
    note().status = reader_.head().status;
    if (const std::string* const signature =
            findField(reader_.head().fields, "Quincewick-Response-Signature")) {
      note().signature = *signature;
    }
    takeBody(reader_.takeBody());
    if (reader_.status() == reactor::ReadStatus::kDone) {
      keeps_open_ = reader_.keepsAlive() && !reader_.bodyEndsAtClose();
      finish(RequestEnd::kAnswered);
    }
  }

  void takeBody(const std::string& body) {
    const bool is_stream =
        note().kind == RequestKind::kResumableStream || note().kind == RequestKind::kStream;
    if (!is_stream || note().status != kOk) {
      note().body += body;
      return;
    }
    events_ += body;
    for (size_t end = events_.find("\n\n"); end != std::string::npos; end = events_.find("\n\n")) {
      takeEvent(events_.substr(0, end));
      events_.erase(0, end + 2);
    }
  }

  // "id: 3\ndata: ATTEMPT 3"
  void takeEvent(const std::string& event) {
    const std::vector<std::string> lines = absl::StrSplit(event, '\n');
    int id = 0;
    const bool is_read =
        lines.size() == 2 && absl::SimpleAtoi(lines[0].substr(std::min<size_t>(4, lines[0].size())), &id);
    note().events.push_back(id);
    const bool is_own = is_read && lines[1] == absl::StrCat("data: ", note().attempt, " ", id);
    note().has_foreign_event = note().has_foreign_event || !is_own;
  }

  void onEnd(reactor::EndKind /*kind*/) override {
    const auto self = shared_from_this();
    keeps_open_ = false;
    if (is_busy_) {
      finish(RequestEnd::kCut);
    }
  }

  void finish(RequestEnd end) {
    const auto self = shared_from_this();
    if (!std::exchange(is_busy_, false)) {
      return;
    }
    caller_.timers_.cancel(limit_);
    note().end = end;
    note().ended = reactor::steadyNow();
    if (end != RequestEnd::kAnswered) {
      keeps_open_ = false;
      close();
    }
    caller_.think();
  }

  Caller& caller_;
  size_t gateway_;
  std::shared_ptr<reactor::Connection> connection_;
  reactor::MessageReader reader_;
  reactor::TimerQueue::Key limit_;
  size_t place_ = 0;
  std::string bytes_;
  std::string events_;  // the last one, not whole yet
  bool is_busy_ = false;
  bool is_used_ = false;
  bool keeps_open_ = true;
};

Caller::Caller(boost::asio::io_context& reactor, reactor::TimerQueue& timers, History& history, Entry& entry,
               const Processes& processes, const Traffic& traffic, uint64_t number, uint64_t seed)
    : reactor_(reactor),
      timers_(timers),
      history_(history),
      entry_(entry),
      processes_(processes),
      traffic_(traffic),
      number_(number),
      random_(seed) {
  think();
}

Caller::~Caller() = default;

void Caller::think() {
  const bool was_trouble = talk_ != nullptr && !talk_->isUsable();
  const absl::Duration thought = absl::Milliseconds(static_cast<int64_t>(random_() % kLongestThoughtMs));
  timers_.schedule(reactor::steadyNow() + thought + (was_trouble ? kAfterTrouble : absl::ZeroDuration()),
                   [this] {
                     if (!traffic_.is_over) {
                       begin();
                     }
                   });
}

Request Caller::makeRequest() {
  Request request;
  request.attempt = absl::StrCat("c", number_, "-", ++asked_);
  const uint64_t drawn = random_() % 10;
  request.kind = drawn < 3   ? RequestKind::kRepeatable
                 : drawn < 6 ? RequestKind::kOnce
                 : drawn < 8 ? RequestKind::kResumableStream
                             : RequestKind::kStream;
  const bool is_stream = drawn >= 6;
  request.service = is_stream ? "streams" : "calls";
  request.key = traffic_.keys[random_() % traffic_.keys.size()];
  return request;
}

void Caller::begin() {
  if (talk_ == nullptr || !talk_->isUsable()) {
    talk_ = std::make_shared<Talk>(*this, entry_.choose(number_));
  }
  Request request = makeRequest();
  request.gateway = processes_.place(talk_->gateway()).id;
  request.sent = reactor::steadyNow();
  const bool asks_new_route = traffic_.has_new_route && request.kind == RequestKind::kRepeatable;
  request.is_on_added_route = asks_new_route;
  const std::string target = absl::StrCat(asks_new_route ? "/new/" : pathOf(request.kind), request.attempt);
  const std::string body = "about " + request.attempt;
  const HeaderFields fields = {{"Host", "h"},
                               {"Quincewick-Attempt-Id", request.attempt},
                               {"Quincewick-Deadline-Ms", absl::StrCat(absl::ToInt64Milliseconds(kDeadline))},
                               {"Authorization", "Bearer " + request.key},
                               {"Content-Length", absl::StrCat(body.size())}};
  const bool leaves_early = random_() % kLeavesOneIn == 0;
  talk_->ask(request, printRequestHead("POST", target, fields) + body,
             leaves_early ? absl::Milliseconds(30) : kLongestWait);
}

}  // namespace quincewick::soak
