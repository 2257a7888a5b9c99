#include "ledger/messages.h"

#include <cereal/archives/portable_binary.hpp>
#include <sstream>
#include <utility>

#include "types/bounded_input_archive.h"

namespace quincewick::ledger {
namespace {

template <class T>
std::string encodeValue(const T& value) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(value);
  }
  return std::move(stream).str();
}

template <class T>
Result<T> decodeValue(std::string_view bytes) {
  if (bytes.size() > kMaximumMessageBytes) {
    return fail(ErrorCode::kInvalidArgument, "a ledger message is too long");
  }
  T value;
  try {
    BoundedInputArchive archive(bytes);
    archive(value);
    if (!archive.isAtEnd()) {
      return fail(ErrorCode::kInvalidArgument, "a ledger message has bytes left over");
    }
  } catch (const cereal::Exception& exception) {
    return fail(ErrorCode::kInvalidArgument, "a ledger message is malformed");
  }
  return value;
}

bool validState(RecordState state) {
  return state <= RecordState::kWithdrawn;
}

bool validRecords(const std::vector<ActionRecord>& records) {
  for (const ActionRecord& record : records) {
    if (!validState(record.state)) {
      return false;
    }
  }
  return true;
}

struct Validity {
  bool operator()(const ClaimReply& reply) const {
    return reply.verdict <= Verdict::kDateAhead && (!reply.record || validState(reply.record->state));
  }
  bool operator()(const CompleteRequest& request) const {
    return validState(request.record.state) && request.record.state != RecordState::kClaimed;
  }
  bool operator()(const TakeoverReply& reply) const { return validRecords(reply.records); }
  bool operator()(const ViewAnnounce& announce) const { return !announce.record.view.members.empty(); }
  template <class T>
  bool operator()(const T& /*message*/) const {
    return true;
  }
};

}  // namespace

std::string encode(const Message& message) {
  return encodeValue(message);
}

Result<Message> decode(std::string_view bytes) {
  BOOST_OUTCOME_TRY(message, decodeValue<Message>(bytes));
  if (!std::visit(Validity(), message)) {
    return fail(ErrorCode::kInvalidArgument, "a ledger message has a field out of range");
  }
  return std::move(message);
}

std::string encodeViewRecord(const ViewRecord& record) {
  return encodeValue(record);
}

Result<ViewRecord> decodeViewRecord(std::string_view bytes) {
  BOOST_OUTCOME_TRY(record, decodeValue<ViewRecord>(bytes));
  if (record.view.members.empty()) {
    return fail(ErrorCode::kInvalidArgument, "a ledger view without members");
  }
  return std::move(record);
}

std::string encodeActionRecord(const ActionRecord& record) {
  return encodeValue(record);
}

Result<ActionRecord> decodeActionRecord(std::string_view bytes) {
  BOOST_OUTCOME_TRY(record, decodeValue<ActionRecord>(bytes));
  if (!validState(record.state)) {
    return fail(ErrorCode::kInvalidArgument, "a journal entry has a field out of range");
  }
  return std::move(record);
}

}  // namespace quincewick::ledger
