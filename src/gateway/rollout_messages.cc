#include "gateway/rollout_messages.h"

#include <algorithm>

#include "types/bounded_archive.h"

namespace quincewick::gateway {
namespace {

using staged_rollout::CountsByStratum;
using staged_rollout::kLatencyBuckets;
using staged_rollout::ResponseCounts;
using staged_rollout::Stratum;
using staged_rollout::Variant;

constexpr uint8_t kFormatVersion = 1;
constexpr uint32_t kMaxNameBytes = 200;
constexpr uint32_t kMaxRecordBytes = 1024;
constexpr uint32_t kMaxStrata = 64;  // per datagram
// A stratum takes up to 17 bytes, and 5 for each response time class that isn't empty.
constexpr size_t kStratumBytes = 18;
constexpr size_t kTimeClassBytes = 5;
constexpr size_t kDatagramBudgetBytes = 700;

// The count of one response time class; empty classes are omitted.
struct TimeCount {
  uint8_t time_class = 0;
  uint32_t answers = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(time_class, answers);
    if (time_class >= kLatencyBuckets) {
      throw cereal::Exception("response time class out of range");
    }
  }
};

struct StratumCounts {
  Stratum stratum;
  ResponseCounts counts;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(stratum.route, stratum.is_crowded, counts.answers, counts.failures);
    std::vector<TimeCount> times;
    for (size_t index = 0; index < kLatencyBuckets; ++index) {
      if (counts.times[index] > 0) {
        times.push_back({static_cast<uint8_t>(index), counts.times[index]});
      }
    }
    archiveList(archive, times, kLatencyBuckets);
    for (const TimeCount& time : times) {
      counts.times[time.time_class] = time.answers;
    }
  }
};

std::vector<StratumCounts> listOf(const CountsByStratum& counts) {
  std::vector<StratumCounts> list;
  for (const auto& [stratum, answers] : counts) {
    list.push_back({stratum, answers});
  }
  return list;
}

CountsByStratum countsFrom(const std::vector<StratumCounts>& list) {
  CountsByStratum counts;
  for (const StratumCounts& entry : list) {
    counts[entry.stratum] = entry.counts;
  }
  return counts;
}

template <class Archive>
void archiveCounts(Archive& archive, CountsByStratum& counts) {
  std::vector<StratumCounts> list = listOf(counts);
  archiveList(archive, list, kMaxStrata);
  counts = countsFrom(list);
}

size_t bytesOf(const ResponseCounts& counts) {
  const auto classes =
      std::count_if(counts.times.begin(), counts.times.end(), [](uint32_t answers) { return answers > 0; });
  return kStratumBytes + kTimeClassBytes * static_cast<size_t>(classes);
}

}  // namespace

template <class Archive>
void serialize(Archive& archive, RolloutAccount& account) {
  std::string service = account.service.value();
  archiveText(archive, service, kMaxNameBytes);
  account.service = staged_rollout::ServiceName(service);
  archive(account.request_row, account.incarnation, account.confirmed_row);
  archiveCounts(archive, account.counts.base);
  archiveCounts(archive, account.counts.target);
}

template <class Archive>
void archiveNotice(Archive& archive, staged_rollout::RolloutNotice& notice) {
  std::string record = encodeRecord(notice.known.record);
  archiveText(archive, record, kMaxRecordBytes);
  if constexpr (Archive::is_loading::value) {
    const auto read = staged_rollout::decodeRecord(record);
    if (read.has_error()) {
      throw cereal::Exception(read.error().message);
    }
    notice.known.record = read.value();
  }
  archive(notice.known.row, notice.stops_target);
}

template <class Archive>
void serialize(Archive& archive, RolloutMessage& message) {
  uint8_t format_version = kFormatVersion;
  archive(format_version);
  if (format_version != kFormatVersion) {
    throw cereal::Exception("unknown format version");
  }
  bool is_notice = message.notice.has_value();
  archive(is_notice);
  if (is_notice) {
    staged_rollout::RolloutNotice notice = message.notice.value_or(staged_rollout::RolloutNotice());
    archiveNotice(archive, notice);
    message.notice = notice;
  } else {
    RolloutAccount account = message.account.value_or(RolloutAccount());
    archive(account);
    message.account = account;
  }
}

std::vector<RolloutAccount> splitIntoDatagrams(const RolloutAccount& account) {
  RolloutAccount empty = account;
  empty.counts = {};
  std::vector<RolloutAccount> parts = {empty};
  size_t room = kDatagramBudgetBytes;
  for (const Variant side : {Variant::kBaseline, Variant::kTarget}) {
    for (const auto& [stratum, counts] : account.counts.of(side)) {
      const size_t bytes = bytesOf(counts);
      if (bytes > room) {
        parts.push_back(empty);
        room = kDatagramBudgetBytes;
      }
      parts.back().counts.of(side)[stratum] = counts;
      room -= bytes;
    }
  }
  return parts;
}

std::string encodeRolloutMessage(const RolloutMessage& message) {
  return encodeArchive(message);
}

Result<RolloutMessage> decodeRolloutMessage(std::string_view bytes) {
  return decodeArchive<RolloutMessage>(bytes);
}

}  // namespace quincewick::gateway
