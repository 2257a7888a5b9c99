#include "admission/outlier_detector.h"

#include <algorithm>

namespace quincewick::admission {
namespace {

// A probe that was not heard of for so long is counted as failed.
constexpr absl::Duration kProbeTimeout = absl::Seconds(10);
constexpr uint32_t kMostDoublings = 16;

template <class Value>
Value medianOf(std::vector<Value> values) {
  if (values.empty()) {
    return Value();
  }
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

void OutlierDetector::setGroup(const std::vector<BackEndId>& group) {
  absl::btree_map<BackEndId, Record> kept;
  for (const BackEndId& back_end : group) {
    const auto found = records_.find(back_end);
    kept[back_end] = found == records_.end() ? Record() : found->second;
  }
  records_ = std::move(kept);
}

void OutlierDetector::record(const BackEndId& back_end, std::optional<absl::Duration> latency,
                             absl::Time now) {
  const auto found = records_.find(back_end);
  if (found == records_.end()) {
    return;
  }
  Record& record = found->second;
  const bool success = latency.has_value();
  if (record.health == Health::kEjected) {
    recordProbe(record, success, now);
    return;
  }
  ++record.requests;
  record.failures += success ? 0 : 1;
  record.latency_sum += latency.value_or(absl::ZeroDuration());
  record.failures_in_a_row = success ? 0 : record.failures_in_a_row + 1;
  if (record.failures_in_a_row >= configuration_.failures_in_a_row && mayEjectOneMore()) {
    eject(record, now);
  }
  if (now - last_judged_ >= configuration_.interval) {
    judge(now);
  }
}

bool OutlierDetector::accepts(const BackEndId& back_end, absl::Time now) const {
  const auto found = records_.find(back_end);
  if (found == records_.end()) {
    return false;
  }
  const Record& record = found->second;
  if (record.health == Health::kHealthy) {
    return true;
  }
  const bool waits_for_probe =
      record.probes_sent > record.probes_succeeded && now - record.probe_sent < kProbeTimeout;
  return now >= record.ejected_until && !waits_for_probe;
}

void OutlierDetector::probeSent(const BackEndId& back_end, absl::Time now) {
  const auto found = records_.find(back_end);
  if (found == records_.end() || found->second.health == Health::kHealthy) {
    return;
  }
  Record& record = found->second;
  record.probes_sent = record.probes_succeeded + 1;
  record.probe_sent = now;
}

size_t OutlierDetector::ejected() const {
  return static_cast<size_t>(std::count_if(records_.begin(), records_.end(), [](const auto& entry) {
    return entry.second.health == Health::kEjected;
  }));
}

// Answers to requests from before the ejection count for nothing.
void OutlierDetector::recordProbe(Record& record, bool success, absl::Time now) {
  if (now < record.ejected_until || record.probes_sent <= record.probes_succeeded) {
    return;
  }
  if (!success) {
    eject(record, now);
    return;
  }
  ++record.probes_succeeded;
  if (record.probes_succeeded >= configuration_.probes) {
    const uint32_t ejections = record.ejections;
    record = Record();
    record.ejections = ejections;
  }
}

void OutlierDetector::judge(absl::Time now) {
  last_judged_ = now;
  std::vector<double> failure_shares;
  std::vector<absl::Duration> latencies;
  const auto judged = [&](const Record& record) {
    return record.health == Health::kHealthy && record.requests >= configuration_.least_requests;
  };
  for (const auto& [back_end, record] : records_) {
    if (judged(record)) {
      failure_shares.push_back(static_cast<double>(record.failures) / record.requests);
      latencies.push_back(record.latency_sum / std::max(1U, record.requests - record.failures));
    }
  }
  const double median_failures = medianOf(failure_shares);
  const absl::Duration median_latency = medianOf(latencies);
  for (auto& [back_end, record] : records_) {
    if (!judged(record)) {
      continue;
    }
    if (isOutlier(record, median_failures, median_latency) && mayEjectOneMore()) {
      eject(record, now);
      continue;
    }
    record.ejections -= record.ejections > 0 ? 1 : 0;
    record.requests = 0;
    record.failures = 0;
    record.latency_sum = absl::ZeroDuration();
  }
}

bool OutlierDetector::isOutlier(const Record& record, double median_failures,
                                absl::Duration median_latency) const {
  const double failures = static_cast<double>(record.failures) / record.requests;
  const absl::Duration latency = record.latency_sum / std::max(1U, record.requests - record.failures);
  return failures > median_failures + configuration_.worse_by ||
         latency > median_latency * configuration_.slower_by;
}

void OutlierDetector::eject(Record& record, absl::Time now) {
  const uint32_t ejections = std::min(record.ejections + 1, kMostDoublings);
  const absl::Duration time = configuration_.ejection_time * (int64_t{1} << (ejections - 1));
  record = Record();
  record.health = Health::kEjected;
  record.ejections = ejections;
  record.ejected_until = now + std::min(time, configuration_.longest_ejection_time);
}

bool OutlierDetector::mayEjectOneMore() const {
  const size_t already = ejected();
  if (already == 0) {
    return records_.size() >= 2;
  }
  const double allowed = configuration_.largest_ejected_share * static_cast<double>(records_.size());
  return static_cast<double>(already + 1) <= allowed;
}

}  // namespace quincewick::admission
