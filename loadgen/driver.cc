#include "loadgen/driver.h"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>
#include <absl/time/clock.h>
#include <arpa/inet.h>

#include <algorithm>
#include <cstdio>
#include <optional>
#include <thread>
#include <utility>

#include "loadgen/caller.h"

namespace quincewick::loadgen {
namespace {

// An arrival with what is known of it before it is sent.
struct Assignment {
  Arrival arrival;
  uint64_t reusable_tokens = 0;
};

// Hands arrivals to workers in order until the length is over. Thread-safe.
class ArrivalQueue {
 public:
  ArrivalQueue(const Workload& workload, const DriverOptions& options)
      : length_(options.length), generator_(workload, options.rate, options.seed) {}

  std::optional<Assignment> take() {
    const absl::MutexLock lock(&mutex_);
    if (is_over_) {
      return std::nullopt;
    }
    Assignment assignment;
    assignment.arrival = generator_.next();
    if (assignment.arrival.time >= length_) {
      is_over_ = true;
      return std::nullopt;
    }
    assignment.reusable_tokens = markSeen(assignment.arrival.prompt);
    return assignment;
  }

 private:
  // Characters of the shared segments that an earlier arrival had already; remembers all of them.
  uint64_t markSeen(const PromptStructure& prompt) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    uint64_t blocks = 0;
    for (const PromptSegment& segment : prompt.segments) {
      const bool is_new = seen_.insert(segment.id).second;
      blocks += is_new ? 0 : segment.blocks;
    }
    return blocks * prompt.block_size;
  }

  const absl::Duration length_;
  absl::Mutex mutex_;
  WorkloadGenerator generator_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_set<uint64_t> seen_ ABSL_GUARDED_BY(mutex_);
  bool is_over_ ABSL_GUARDED_BY(mutex_) = false;
};

// What the progress line shows.
struct Counts {
  uint64_t started = 0;
  uint64_t ended = 0;
  uint64_t refused = 0;
  uint64_t failed = 0;
  uint64_t violations = 0;
  std::vector<absl::Duration> first_tokens;  // since the last line
};

// Collects outcomes. Thread-safe.
class Recorder {
 public:
  void start() {
    const absl::MutexLock lock(&mutex_);
    ++counts_.started;
  }

  void record(RequestOutcome outcome) {
    const absl::MutexLock lock(&mutex_);
    ++counts_.ended;
    counts_.refused += outcome.outcome == OutcomeClass::kRefused ? 1 : 0;
    const bool failed = outcome.outcome == OutcomeClass::kFailed || outcome.outcome == OutcomeClass::kCut;
    counts_.failed += failed ? 1 : 0;
    counts_.violations += outcome.violation ? 1 : 0;
    if (outcome.first_token) {
      counts_.first_tokens.push_back(*outcome.first_token - outcome.arrival.time);
    }
    outcomes_.push_back(std::move(outcome));
  }

  // The counts so far; starts a new interval for the first tokens.
  Counts takeCounts() {
    const absl::MutexLock lock(&mutex_);
    Counts counts = counts_;
    counts_.first_tokens.clear();
    return counts;
  }

  std::vector<RequestOutcome> takeOutcomes() {
    const absl::MutexLock lock(&mutex_);
    std::sort(outcomes_.begin(), outcomes_.end(),
              [](const RequestOutcome& left, const RequestOutcome& right) {
                return left.arrival.number < right.arrival.number;
              });
    return std::move(outcomes_);
  }

 private:
  absl::Mutex mutex_;
  Counts counts_ ABSL_GUARDED_BY(mutex_);
  std::vector<RequestOutcome> outcomes_ ABSL_GUARDED_BY(mutex_);
};

void showProgress(absl::Duration elapsed, Counts counts) {
  constexpr double percentile = 0.95;
  std::string first_token = "-";
  if (!counts.first_tokens.empty()) {
    const auto rank =
        static_cast<ptrdiff_t>(percentile * static_cast<double>(counts.first_tokens.size() - 1));
    const auto place = counts.first_tokens.begin() + rank;
    std::nth_element(counts.first_tokens.begin(), place, counts.first_tokens.end());
    first_token = absl::FormatDuration(absl::Trunc(*place, absl::Milliseconds(1)));
  }
  const std::string line = absl::StrCat(
      "elapsed=", absl::FormatDuration(absl::Trunc(elapsed, absl::Milliseconds(100))),
      " started=", counts.started, " in_flight=", counts.started - counts.ended, " refused=", counts.refused,
      " failed=", counts.failed, " violations=", counts.violations, " first_token_p95=", first_token, "\n");
  std::fputs(line.c_str(), stderr);
}

void work(const Workload& workload, const DriverOptions& options, absl::Time start, ArrivalQueue& queue,
          Recorder& recorder) {
  Caller caller(workload, options, start);
  while (std::optional<Assignment> assignment = queue.take()) {
    PreparedRequest prepared = prepareRequest(workload, options, std::move(assignment->arrival));
    absl::SleepFor(start + prepared.arrival.time - absl::Now());
    recorder.start();
    RequestOutcome outcome = caller.send(std::move(prepared));
    outcome.reusable_tokens = assignment->reusable_tokens;
    recorder.record(std::move(outcome));
  }
}

bool auditAll(const Workload& workload, const DriverOptions& options, std::vector<RequestOutcome>& outcomes) {
  constexpr int ok = 200;
  ActionRuns runs;
  for (const Address& server : options.action_servers) {
    httplib::Client client(server.host, server.port);
    const httplib::Result response = client.Get("/admin/runs");
    if (!response || response->status != ok || addActionRuns(response->body, runs).has_error()) {
      return false;
    }
  }
  if (options.action_servers.empty()) {
    return false;
  }
  auditActions(workload, runs, outcomes);
  return true;
}

}  // namespace

Result<std::vector<Address>> parseAddresses(std::string_view text) {
  std::vector<Address> addresses;
  const std::vector<std::string> parts = absl::StrSplit(absl::string_view(text.data(), text.size()), ',');
  for (const std::string& part : parts) {
    const size_t colon = part.rfind(':');
    Address address{part.substr(0, colon), 0};
    uint32_t port = 0;
    in_addr parsed{};
    const bool has_port = colon != std::string::npos && absl::SimpleAtoi(part.substr(colon + 1), &port);
    if (!has_port || port == 0 || port > UINT16_MAX ||
        inet_pton(AF_INET, address.host.c_str(), &parsed) != 1) {
      return fail(ErrorCode::kInvalidArgument, absl::StrCat("'", part, "' is not IP:PORT"));
    }
    address.port = static_cast<uint16_t>(port);
    addresses.push_back(std::move(address));
  }
  return addresses;
}

RunRecord runLoad(const Workload& workload, const DriverOptions& options) {
  ArrivalQueue queue(workload, options);
  Recorder recorder;
  const absl::Time start = absl::Now();
  std::vector<std::thread> workers;
  for (uint32_t worker = 0; worker < options.workers; ++worker) {
    workers.emplace_back([&] { work(workload, options, start, queue, recorder); });
  }
  absl::Notification done;
  std::thread progress([&] {
    while (options.show_progress && !done.WaitForNotificationWithTimeout(absl::Seconds(1))) {
      showProgress(absl::Now() - start, recorder.takeCounts());
    }
  });
  for (std::thread& worker : workers) {
    worker.join();
  }
  done.Notify();
  progress.join();
  RunRecord record;
  record.outcomes = recorder.takeOutcomes();
  record.has_action_audit = auditAll(workload, options, record.outcomes);
  return record;
}

}  // namespace quincewick::loadgen
