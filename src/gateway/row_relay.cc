#include "gateway/row_relay.h"

#include <algorithm>
#include <utility>

#include "gateway/packed_rows.h"

namespace quincewick::gateway {
namespace {

// One for each table of each follower: a zone of 300 gateways.
constexpr size_t kConnectionsAtMost = 1024;
constexpr absl::Duration kLongestWait = absl::Seconds(2);
// From so many rows on, a table as a whole is large.
constexpr size_t kRowsOfLargeTable = 500;
// Of one table: followers differ by an answer or two in what they know.
constexpr size_t kPackedAtMost = 8;
constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;

}  // namespace

bool RowRelay::listen(const Address& address) {
  server_ = std::make_unique<reactor::SimpleHttpServer>(
      core_.reactor, address, kConnectionsAtMost,
      [this](const HttpHead& question, const std::string& body,
             const reactor::SimpleHttpServer::Respond& respond) { takeQuestion(question, body, respond); });
  return server_->isListening();
}

void RowRelay::offer(const std::string& table, const forwarding::RowCache* cache) {
  caches_[table] = cache;
}

void RowRelay::takeQuestion(const HttpHead& head, const std::string& body,
                            const reactor::SimpleHttpServer::Respond& respond) {
  peer::Authenticator* const authenticator = peers_.authenticator();
  if (authenticator == nullptr) {
    refuse(respond, kUnavailable);
    return;
  }
  const auto envelope = authenticator->open(peer::Channel::kRequest, body);
  if (envelope.has_error()) {
    refuse(respond, kUnauthorized);
    return;
  }
  auto question = decodeRelayQuestion(envelope.value().payload);
  if (question.has_error()) {
    refuse(respond, kBadRequest);
    return;
  }
  const auto cache = caches_.find(question.value().table);
  if (!answers_ || cache == caches_.end() || !cache->second->isFilled()) {
    refuse(respond, kUnavailable);
    return;
  }
  Held held{std::move(question.value()),
            head.target == kPackedPath,
            envelope.value().sender,
            envelope.value().sequence,
            reactor::steadyNow(),
            respond,
            {}};
  whole_answers_.noteAsked(held.asker);
  answerWaitingForWhole();
  if (isLargeWhole(held) && !whole_answers_.mayBegin(reactor::steadyNow())) {
    waiting_for_whole_.push_back(std::move(held));
    return;
  }
  if (hasNews(held.question)) {
    answer(held);
    return;
  }
  hold(std::move(held));
}

void RowRelay::hold(Held held) {
  held_.push_back(std::move(held));
  const auto place = std::prev(held_.end());
  const absl::Duration wait = std::clamp(place->question.wait, absl::ZeroDuration(), kLongestWait);
  place->wait = core_.timers.schedule(reactor::steadyNow() + wait, [this, place] {
    answer(*place);
    held_.erase(place);
  });
}

// Who waits longest goes first. Followers that went ask no more: answers to them are over by their time.
void RowRelay::answerWaitingForWhole() {
  const absl::Time now = reactor::steadyNow();
  while (!waiting_for_whole_.empty() && whole_answers_.mayBegin(now)) {
    Held held = std::move(waiting_for_whole_.front());
    waiting_for_whole_.pop_front();
    answer(held);
  }
}

bool RowRelay::isLargeWhole(const Held& held) const {
  const forwarding::RowCache& cache = *caches_.at(held.question.table);
  return cache.tellsAllAfter(held.question.after) && cache.size() >= kRowsOfLargeTable;
}

bool RowRelay::hasNews(const RelayQuestion& question) const {
  const forwarding::RowCache& cache = *caches_.at(question.table);
  return question.after == 0 || cache.lastChange() > question.after || cache.readings() != question.readings;
}

void RowRelay::answer(Held& held) {
  const absl::Time now = reactor::steadyNow();
  if (isLargeWhole(held)) {
    whole_answers_.noteSent(held.asker, now);
  }
  const std::string payload = held.wants_packed ? packedAnswer(held, now) : plainAnswer(held, now);
  const auto sealed = peers_.authenticator()->seal(peer::Channel::kResponse, held.asker,
                                                   peer::PeerModule::kRouting, payload, held.sequence);
  held.respond({kOk, "application/octet-stream", sealed.bytes});
}

RelayAnswer RowRelay::answerWithoutRows(const Held& held, absl::Time now) const {
  const forwarding::RowCache& cache = *caches_.at(held.question.table);
  RelayAnswer answer;
  answer.is_whole = cache.tellsAllAfter(held.question.after);
  answer.version = cache.version();
  answer.readings = cache.readings();
  answer.confirmed_ago = now - cache.confirmed();
  answer.as_of_ago = now - cache.asOf();
  answer.held_for = now - held.came;
  return answer;
}

std::string RowRelay::plainAnswer(const Held& held, absl::Time now) const {
  RelayAnswer answer = answerWithoutRows(held, now);
  answer.rows = caches_.at(held.question.table)->newsAfter(held.question.after).rows;
  return encodeRelayAnswer(answer);
}

std::string RowRelay::packedAnswer(const Held& held, absl::Time now) {
  return encodePackedAnswer({answerWithoutRows(held, now), packedRowsFor(held.question)});
}

// All followers that know as much are told the same: it is looked up and packed once.
const std::string& RowRelay::packedRowsFor(const RelayQuestion& question) {
  const forwarding::RowCache& cache = *caches_.at(question.table);
  std::deque<Packed>& kept = packed_[question.table];
  std::erase_if(kept, [&cache](const Packed& packed) { return packed.version != cache.version(); });
  const auto found = std::find_if(
      kept.begin(), kept.end(), [&question](const Packed& packed) { return packed.after == question.after; });
  if (found != kept.end()) {
    return found->bytes;
  }
  if (kept.size() >= kPackedAtMost) {
    kept.pop_front();
  }
  kept.push_back({question.after, cache.version(), packRows(cache.newsAfter(question.after).rows)});
  return kept.back().bytes;
}

void RowRelay::tell(const std::string& table) {
  answerWaitingForWhole();
  for (auto held = held_.begin(); held != held_.end();) {
    if (held->question.table != table || !hasNews(held->question)) {
      ++held;
      continue;
    }
    core_.timers.cancel(held->wait);
    answer(*held);
    held = held_.erase(held);
  }
}

void RowRelay::sendAway() {
  for (Held& held : std::exchange(held_, {})) {
    core_.timers.cancel(held.wait);
    refuse(held.respond, kUnavailable);
  }
  for (const Held& held : std::exchange(waiting_for_whole_, {})) {
    refuse(held.respond, kUnavailable);
  }
  packed_.clear();
}

void RowRelay::refuse(const reactor::SimpleHttpServer::Respond& respond, int status) const {
  respond({status, "text/plain", ""});
}

}  // namespace quincewick::gateway
