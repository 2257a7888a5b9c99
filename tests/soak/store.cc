#include "store.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace quincewick::soak {
namespace {

constexpr size_t kConnectionsAtMost = 256;
constexpr absl::Duration kAnswerTime = absl::Milliseconds(4);
constexpr absl::Duration kSlowAnswerTime = absl::Milliseconds(500);
constexpr absl::Duration kBetweenCopies = absl::Milliseconds(250);
constexpr absl::Duration kCopiesKept = absl::Seconds(10);
constexpr const char* kEra = "Store-Era";
// Of those who know what they wrote, and write it again.
constexpr std::array kTablesOfOthers = {"op", "servers"};

std::string parameter(const std::string& target, const std::string& name) {
  const size_t begin = target.find(name + "=");
  if (begin == std::string::npos) {
    return "";
  }
  const size_t value = begin + name.size() + 1;
  return target.substr(value, target.find('&', value) - value);
}

uint64_t number(const std::string& text) {
  uint64_t value = 0;
  return absl::SimpleAtoi(text, &value) ? value : 0;
}

reactor::SimpleHttpResponse json(std::string body) {
  return {200, "application/json", std::move(body)};
}

}  // namespace

Store::Store(boost::asio::io_context& reactor, reactor::TimerQueue& timers, size_t gateways,
             Rendered rendered, bool tells_era)
    : timers_(timers), rendered_(std::move(rendered)), troubles_(gateways), tells_era_(tells_era) {
  for (size_t gateway = 0; gateway < gateways; ++gateway) {
    doors_.push_back(std::make_unique<reactor::SimpleHttpServer>(
        reactor, Address{"127.0.0.1", 0}, kConnectionsAtMost,
        [this, gateway](const HttpHead& question, const std::string& body,
                        const reactor::SimpleHttpServer::Respond& respond) {
          take(gateway, question, body, [this, respond](reactor::SimpleHttpResponse answer) {
            if (tells_era_) {
              answer.further_fields.push_back({kEra, absl::StrCat(era_)});
            }
            respond(answer);
          });
        }));
  }
  keepCopy();
}

void Store::put(const std::string& table, const std::string& key, const std::string& value) {
  change(table, key, value, false);
}

void Store::remove(const std::string& table, const std::string& key) {
  change(table, key, "", true);
}

void Store::change(const std::string& table, const std::string& key, const std::string& value, bool is_gone) {
  tables_[table][key] = {value, ++version_, is_gone};
  answerWaiting([&table](const Waiting& waiting) { return waiting.table == table; });
}

void Store::answerWaiting(const std::function<bool(const Waiting&)>& is_due) {
  for (auto waiting = waiting_.begin(); waiting != waiting_.end();) {
    if (!is_due(*waiting)) {
      ++waiting;
      continue;
    }
    timers_.cancel(waiting->limit);
    waiting->respond(changes(waiting->gateway, waiting->table, waiting->after));
    waiting = waiting_.erase(waiting);
  }
}

void Store::keepCopy() {
  const absl::Time now = reactor::steadyNow();
  copies_.push_back({now, tables_, version_, forgotten_});
  while (copies_.front().made < now - kCopiesKept) {
    copies_.pop_front();
  }
  timers_.schedule(now + kBetweenCopies, [this] { keepCopy(); });
}

void Store::goBack(absl::Duration ago) {
  const absl::Time latest = reactor::steadyNow() - ago;
  // What is newer than the copy never was, for a second restore as well.
  while (!copies_.empty() && copies_.back().made > latest) {
    copies_.pop_back();
  }
  const Copy copy = copies_.empty() ? Copy{latest, {}, 1, 0} : copies_.back();
  const Tables lost = std::exchange(tables_, copy.tables);
  version_ = copy.version;
  forgotten_ = copy.forgotten;
  ++era_;
  answerWaiting([this](const Waiting& waiting) { return isGone(waiting.after); });
  for (const char* const table : kTablesOfOthers) {
    const auto written = lost.find(table);
    if (written == lost.end()) {
      continue;
    }
    for (const auto& [key, row] : written->second) {
      const auto& rows = tables_[table];
      const auto found = rows.find(key);
      if (found == rows.end() || found->second.version != row.version) {
        change(table, key, row.value, row.is_gone);
      }
    }
  }
}

void Store::take(size_t gateway, const HttpHead& question, const std::string& body,
                 const reactor::SimpleHttpServer::Respond& respond) {
  const StoreTrouble& trouble = troubles_[gateway];
  if (trouble.is_silent) {
    return;
  }
  if (trouble.refuses) {
    respond({503, "text/plain", ""});
    return;
  }
  const absl::Duration time = trouble.is_slow ? kSlowAnswerTime : kAnswerTime;
  timers_.schedule(reactor::steadyNow() + time,
                   [this, gateway, question, body, respond] { answer(gateway, question, body, respond); });
}

void Store::answer(size_t gateway, const HttpHead& question, const std::string& body,
                   const reactor::SimpleHttpServer::Respond& respond) {
  if (question.target.starts_with("/v1/rows-feed")) {
    follow(gateway, question.target, respond);
  } else if (question.target.starts_with("/v1/rows-get")) {
    respond(readRows(gateway, question.target));
  } else {
    const reactor::SimpleHttpResponse written = write(body);
    if (!troubles_[gateway].loses_answers) {
      respond(written);
    }
  }
}

std::string Store::tail() const {
  const int64_t now_ms = absl::ToUnixMillis(reactor::steadyNow());
  return absl::StrCat(R"("ver":)", version_, R"(,"now_ms":)", now_ms, "}");
}

std::string Store::printRow(size_t gateway, const std::string& table, const std::string& key,
                            const Row& row) const {
  const std::string value = row.is_gone ? "" : rendered_(table, key, row.value, gateway);
  return absl::StrCat(R"({"table":")", table, R"(","key":")", key, R"(","value":")",
                      absl::Base64Escape(value), R"(","ver":)", row.version,
                      row.is_gone ? R"(,"gone":true})" : "}");
}

reactor::SimpleHttpResponse Store::readRows(size_t gateway, const std::string& target) const {
  const std::string table = parameter(target, "table");
  const std::string from = parameter(target, "from");
  std::string rows;
  if (const auto found = tables_.find(table); found != tables_.end()) {
    for (const auto& [key, row] : found->second) {
      if (!row.is_gone && key >= from) {
        absl::StrAppend(&rows, rows.empty() ? "" : ",", printRow(gateway, table, key, row));
      }
    }
  }
  return json(absl::StrCat(R"({"rows":[)", rows, R"(],"more":false,)", tail()));
}

reactor::SimpleHttpResponse Store::changes(size_t gateway, const std::string& table, uint64_t after) const {
  if (isGone(after)) {
    return {410, "text/plain", ""};
  }
  std::string rows;
  if (const auto found = tables_.find(table); found != tables_.end()) {
    for (const auto& [key, row] : found->second) {
      if (row.version > after) {
        absl::StrAppend(&rows, rows.empty() ? "" : ",", printRow(gateway, table, key, row));
      }
    }
  }
  return json(absl::StrCat(R"({"rows":[)", rows, "],", tail()));
}

void Store::follow(size_t gateway, const std::string& target,
                   const reactor::SimpleHttpServer::Respond& respond) {
  const std::string table = parameter(target, "table");
  const uint64_t after = number(parameter(target, "after"));
  bool is_news = isGone(after);
  for (const auto& [key, row] : tables_[table]) {
    is_news = is_news || row.version > after;
  }
  if (is_news) {
    respond(changes(gateway, table, after));
    return;
  }
  waiting_.push_back({gateway, table, after, respond, {}});
  const auto place = std::prev(waiting_.end());
  const absl::Duration wait = absl::Milliseconds(static_cast<int64_t>(number(parameter(target, "waitMs"))));
  place->limit = timers_.schedule(reactor::steadyNow() + wait, [this, place] {
    place->respond(changes(place->gateway, place->table, place->after));
    waiting_.erase(place);
  });
}

reactor::SimpleHttpResponse Store::write(const std::string& body) {
  const nlohmann::json transaction = nlohmann::json::parse(body);
  for (const auto& condition : transaction["expectedRevision"]) {
    const auto& rows = tables_[condition["table"]];
    const auto found = rows.find(condition["key"]);
    const bool is_there = found != rows.end() && !found->second.is_gone;
    if ((is_there ? found->second.version : 0) != condition["ver"].get<uint64_t>()) {
      return {412, "application/json", absl::StrCat(R"({"rows":[],)", tail())};
    }
  }
  for (const auto& row : transaction["put"]) {
    std::string value;
    absl::Base64Unescape(row["value"].get<std::string>(), &value);
    change(row["table"], row["key"], value, false);
  }
  return json("{" + tail());
}

}  // namespace quincewick::soak
