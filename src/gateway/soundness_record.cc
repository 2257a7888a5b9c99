#include "gateway/soundness_record.h"

#include <absl/strings/strip.h>

#include <optional>
#include <string>

#include "forwarding/soundness.h"

namespace quincewick::gateway {
namespace {

constexpr std::string_view kSoundKey = "sound";
constexpr absl::string_view kBrittlePrefix = "brittle/";
constexpr uint32_t kMaxRows = 4096;
// Half of BrittlenessRegister::kSoundValidity, for which a statement holds.
constexpr absl::Duration kWriteInterval = absl::Seconds(5);
// Between checks whether this gateway writes for all.
constexpr absl::Duration kWriterCheckInterval = absl::Seconds(1);
// By then a gateway that starts knows which others are live.
constexpr absl::Duration kFirstWriteDelay = absl::Seconds(1);
// Later a request has found out what the record would tell.
constexpr absl::Duration kReadTime = absl::Seconds(2);

}  // namespace

void SoundnessRecord::start() {
  started_ = reactor::steadyNow();
  is_read_ = core_.settings.site_is_new;
  next_write_ = started_ + kFirstWriteDelay;
  onHeartbeat(started_);
}

void SoundnessRecord::onHeartbeat(absl::Time now) {
  if (!is_read_ && !is_reading_ && now < started_ + kReadTime) {
    read();
  }
  for (const auto& [service, brittle] : brittle_) {
    if (!brittle.is_stored && !brittle.is_writing) {
      writeBrittle(service, now);
    }
  }
  if (now >= next_write_) {
    next_write_ = now + kWriterCheckInterval;
    if (peers_.ranksFirst(kTable)) {
      writeSound(now);
    }
  }
}

void SoundnessRecord::read() {
  is_reading_ = true;
  store_.read(kTable, "", kMaxRows, [this](StoreStatus status, const forwarding::StoreRows& rows) {
    const absl::Time now = reactor::steadyNow();
    is_reading_ = false;
    is_read_ = status == StoreStatus::kDone;
    if (is_read_ && !rows.has_more) {
      applyRows(rows, now);
      return;
    }
    core_.log.event("soundness_not_read", now)
        .with("why", is_read_ ? "too many rows" : "no answer of the store");
  });
}

void SoundnessRecord::applyRows(const forwarding::StoreRows& rows, absl::Time now) {
  std::vector<forwarding::SoundStatement> sound;
  absl::flat_hash_map<forwarding::ServiceName, absl::Duration> brittle;
  for (const forwarding::StoreRow& row : rows.rows) {
    absl::string_view service = row.key;
    if (row.key == kSoundKey) {
      auto decoded = forwarding::decodeSoundRecord(row.value);
      if (decoded.has_error()) {
        core_.log.event("soundness_not_read", now).with("why", decoded.error().message);
        return;
      }
      sound = std::move(decoded.value().statements);
    } else if (absl::ConsumePrefix(&service, kBrittlePrefix)) {
      const std::optional<uint64_t> heard_ms = parseUnsigned(row.value);
      brittle[forwarding::ServiceName(std::string(service))] =
          heard_ms ? absl::Milliseconds(static_cast<int64_t>(*heard_ms)) : absl::InfiniteDuration();
    }
  }
  for (const forwarding::SoundStatement& statement : forwarding::withoutBrittle(std::move(sound), brittle)) {
    const absl::Duration age = rows.clock - statement.heard;
    if (age >= absl::ZeroDuration()) {
      known_.noteRecordedSound(statement.service, now - age);
    }
  }
}

void SoundnessRecord::writeSound(absl::Time now) {
  const std::optional<absl::Duration> clock = core_.storeClock(now);
  const auto sound = known_.soundServices(now);
  if (!clock || sound.empty()) {
    return;
  }
  next_write_ = now + kWriteInterval;
  forwarding::SoundRecord record;
  for (const auto& [service, heard] : sound) {
    record.statements.push_back({service, *clock - (now - heard)});
  }
  const forwarding::StoreRow row{kTable, std::string(kSoundKey), forwarding::encodeSoundRecord(record), 0,
                                 false};
  store_.writeAll({{row, std::nullopt}}, [this](StoreStatus status, const forwarding::StoreRows& /*rows*/) {
    if (status != StoreStatus::kDone) {
      core_.log.event("soundness_not_stored", reactor::steadyNow()).with("what", "sound");
    }
  });
}

void SoundnessRecord::noteBrittle(const forwarding::ServiceName& service, absl::Time now) {
  Brittle& brittle = brittle_[service];
  const bool is_new = now - brittle.heard > forwarding::BrittlenessRegister::kBrittleValidity;
  brittle.heard = now;
  if (is_new) {
    brittle.is_stored = false;
    writeBrittle(service, now);
  }
}

void SoundnessRecord::writeBrittle(const forwarding::ServiceName& service, absl::Time now) {
  const std::optional<absl::Duration> clock = core_.storeClock(now);
  Brittle& brittle = brittle_[service];
  if (!clock || brittle.is_writing) {
    return;
  }
  brittle.is_writing = true;
  const forwarding::StoreRow row{kTable, std::string(kBrittlePrefix) + service.value(),
                                 std::to_string(absl::ToInt64Milliseconds(*clock)), 0, false};
  store_.writeAll(
      {{row, std::nullopt}}, [this, service](StoreStatus status, const forwarding::StoreRows& /*rows*/) {
        Brittle& written = brittle_[service];
        written.is_writing = false;
        written.is_stored = status == StoreStatus::kDone;
        if (!written.is_stored) {
          core_.log.event("soundness_not_stored", reactor::steadyNow()).with("what", service.value());
        }
      });
}

}  // namespace quincewick::gateway
