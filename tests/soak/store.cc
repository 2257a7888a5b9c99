#include "store.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace quincewick::soak {
namespace {

constexpr size_t kMaxConnections = 256;
constexpr absl::Duration kResponseDelay = absl::Milliseconds(4);
constexpr absl::Duration kSlowResponseDelay = absl::Milliseconds(500);
constexpr absl::Duration kCopyInterval = absl::Milliseconds(250);
constexpr absl::Duration kCopyRetention = absl::Seconds(10);
constexpr const char* kEraHeader = "Store-Era";
// Tables whose writers keep their own state and write it again after a restore.
constexpr std::array kTablesNotWrittenByGateways = {"op", "servers"};

std::string parameter(const std::string& target, const std::string& name) {
  const size_t begin = target.find(name + "=");
  if (begin == std::string::npos) {
    return "";
  }
  const size_t value = begin + name.size() + 1;
  return target.substr(value, target.find('&', value) - value);
}

uint64_t parseNumber(const std::string& text) {
  uint64_t value = 0;
  return absl::SimpleAtoi(text, &value) ? value : 0;
}

reactor::SimpleHttpResponse jsonResponse(std::string body) {
  return {200, "application/json", std::move(body)};
}

}  // namespace

Store::Store(boost::asio::io_context& reactor, reactor::TimerQueue& timers, size_t gateways,
             RenderValue render_value, bool sends_era)
    : timers_(timers), render_value_(std::move(render_value)), faults_(gateways), sends_era_(sends_era) {
  for (size_t gateway = 0; gateway < gateways; ++gateway) {
    servers_.push_back(std::make_unique<reactor::SimpleHttpServer>(
        reactor, Address{"127.0.0.1", 0}, kMaxConnections,
        [this, gateway](const HttpHead& request, const std::string& body,
                        const reactor::SimpleHttpServer::Respond& respond) {
          handleRequest(gateway, request, body, [this, respond](reactor::SimpleHttpResponse dispatch) {
            if (sends_era_) {
              dispatch.further_fields.push_back({kEraHeader, absl::StrCat(era_)});
            }
            respond(dispatch);
          });
        }));
  }
  saveCopy();
}

void Store::put(const std::string& table, const std::string& key, const std::string& value) {
  writeRow(table, key, value, false);
}

void Store::remove(const std::string& table, const std::string& key) {
  writeRow(table, key, "", true);
}

void Store::writeRow(const std::string& table, const std::string& key, const std::string& value,
                     bool is_deleted) {
  tables_[table][key] = {value, ++version_, is_deleted};
  completeLongPolls([&table](const LongPoll& long_poll) { return long_poll.table == table; });
}

void Store::completeLongPolls(const std::function<bool(const LongPoll&)>& is_due) {
  for (auto long_poll = long_polls_.begin(); long_poll != long_polls_.end();) {
    if (!is_due(*long_poll)) {
      ++long_poll;
      continue;
    }
    timers_.cancel(long_poll->timeout_timer);
    long_poll->respond(changesSince(long_poll->gateway, long_poll->table, long_poll->after));
    long_poll = long_polls_.erase(long_poll);
  }
}

void Store::saveCopy() {
  const absl::Time now = reactor::steadyNow();
  copies_.push_back({now, tables_, version_, oldest_kept_version_});
  while (copies_.front().made < now - kCopyRetention) {
    copies_.pop_front();
  }
  timers_.schedule(now + kCopyInterval, [this] { saveCopy(); });
}

void Store::restoreCopy(absl::Duration ago) {
  restoreCopyOnly(ago);
  writeLostRows();
}

void Store::restoreCopyOnly(absl::Duration ago) {
  const absl::Time latest = reactor::steadyNow() - ago;
  // Also drops newer copies, so that a second restore can't return to them.
  while (!copies_.empty() && copies_.back().made > latest) {
    copies_.pop_back();
  }
  const Copy copy = copies_.empty() ? Copy{latest, {}, 1, 0} : copies_.back();
  const Tables previous_tables = std::exchange(tables_, copy.tables);
  // A row that was written after an earlier restore replaces the one that this lost.
  for (const auto& [table, rows] : previous_tables) {
    for (const auto& [key, row] : rows) {
      const auto& lost = lost_tables_[table];
      if (!lost.contains(key) || row.version > restored_version_) {
        lost_tables_[table][key] = row;
      }
    }
  }
  version_ = copy.version;
  restored_version_ = copy.version;
  oldest_kept_version_ = copy.oldest_kept_version;
  ++era_;
  completeLongPolls([this](const LongPoll& long_poll) { return isUnavailable(long_poll.after); });
}

void Store::writeLostRows() {
  const Tables previous_tables = std::exchange(lost_tables_, {});
  for (const char* const table : kTablesNotWrittenByGateways) {
    const auto written = previous_tables.find(table);
    if (written == previous_tables.end()) {
      continue;
    }
    for (const auto& [key, row] : written->second) {
      const auto& rows = tables_[table];
      const auto found = rows.find(key);
      const bool is_written_since = found != rows.end() && found->second.version > restored_version_;
      if (!is_written_since && (found == rows.end() || found->second.version != row.version)) {
        writeRow(table, key, row.value, row.is_deleted);
      }
    }
  }
}

std::string Store::value(const std::string& table, const std::string& key) const {
  const auto rows = tables_.find(table);
  const auto row = rows == tables_.end() ? nullptr : &rows->second;
  return row == nullptr || !row->contains(key) ? "" : row->at(key).value;
}

void Store::handleRequest(size_t gateway, const HttpHead& request, const std::string& body,
                          const reactor::SimpleHttpServer::Respond& respond) {
  const StoreFaults& faults = faults_[gateway];
  if (faults.is_silent) {
    return;
  }
  if (faults.refuses) {
    respond({503, "text/plain", ""});
    return;
  }
  const absl::Duration time = faults.is_slow ? kSlowResponseDelay : kResponseDelay;
  timers_.schedule(reactor::steadyNow() + time,
                   [this, gateway, request, body, respond] { dispatch(gateway, request, body, respond); });
}

void Store::dispatch(size_t gateway, const HttpHead& request, const std::string& body,
                     const reactor::SimpleHttpServer::Respond& respond) {
  if (request.target.starts_with("/v1/rows-feed")) {
    longPoll(gateway, request.target, respond);
  } else if (request.target.starts_with("/v1/rows-get")) {
    respond(readRows(gateway, request.target));
  } else {
    const reactor::SimpleHttpResponse written = write(body);
    if (!faults_[gateway].drops_responses) {
      respond(written);
    }
  }
}

std::string Store::printVersionAndTime() const {
  const int64_t now_ms = absl::ToUnixMillis(reactor::steadyNow());
  return absl::StrCat(R"("ver":)", version_, R"(,"now_ms":)", now_ms, "}");
}

std::string Store::printRow(size_t gateway, const std::string& table, const std::string& key,
                            const Row& row) const {
  const std::string value = row.is_deleted ? "" : render_value_(table, key, row.value, gateway);
  return absl::StrCat(R"({"table":")", table, R"(","key":")", key, R"(","value":")",
                      absl::Base64Escape(value), R"(","ver":)", row.version,
                      row.is_deleted ? R"(,"gone":true})" : "}");
}

reactor::SimpleHttpResponse Store::readRows(size_t gateway, const std::string& target) const {
  const std::string table = parameter(target, "table");
  const std::string from = parameter(target, "from");
  std::string rows;
  if (const auto found = tables_.find(table); found != tables_.end()) {
    for (const auto& [key, row] : found->second) {
      if (!row.is_deleted && key >= from) {
        absl::StrAppend(&rows, rows.empty() ? "" : ",", printRow(gateway, table, key, row));
      }
    }
  }
  return jsonResponse(absl::StrCat(R"({"rows":[)", rows, R"(],"more":false,)", printVersionAndTime()));
}

reactor::SimpleHttpResponse Store::changesSince(size_t gateway, const std::string& table,
                                                uint64_t after) const {
  if (isUnavailable(after)) {
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
  return jsonResponse(absl::StrCat(R"({"rows":[)", rows, "],", printVersionAndTime()));
}

void Store::longPoll(size_t gateway, const std::string& target,
                     const reactor::SimpleHttpServer::Respond& respond) {
  const std::string table = parameter(target, "table");
  const uint64_t after = parseNumber(parameter(target, "after"));
  bool has_changes = isUnavailable(after);
  for (const auto& [key, row] : tables_[table]) {
    has_changes = has_changes || row.version > after;
  }
  if (has_changes) {
    respond(changesSince(gateway, table, after));
    return;
  }
  long_polls_.push_back({gateway, table, after, respond, {}});
  const auto position = std::prev(long_polls_.end());
  const absl::Duration wait =
      absl::Milliseconds(static_cast<int64_t>(parseNumber(parameter(target, "waitMs"))));
  position->timeout_timer = timers_.schedule(reactor::steadyNow() + wait, [this, position] {
    position->respond(changesSince(position->gateway, position->table, position->after));
    long_polls_.erase(position);
  });
}

reactor::SimpleHttpResponse Store::write(const std::string& body) {
  const nlohmann::json transaction = nlohmann::json::parse(body);
  for (const auto& condition : transaction["expectedRevision"]) {
    const auto& rows = tables_[condition["table"]];
    const auto found = rows.find(condition["key"]);
    const bool is_present = found != rows.end() && !found->second.is_deleted;
    if ((is_present ? found->second.version : 0) != condition["ver"].get<uint64_t>()) {
      return {412, "application/json", absl::StrCat(R"({"rows":[],)", printVersionAndTime())};
    }
  }
  for (const auto& row : transaction["put"]) {
    std::string value;
    absl::Base64Unescape(row["value"].get<std::string>(), &value);
    writeRow(row["table"], row["key"], value, false);
  }
  return jsonResponse("{" + printVersionAndTime());
}

}  // namespace quincewick::soak
