#include "loadgen/outcome.h"

namespace quincewick::loadgen {

std::string_view outcomeClassName(OutcomeClass outcome) {
  switch (outcome) {
    case OutcomeClass::kComplete:
      return "complete";
    case OutcomeClass::kRefused:
      return "refused";
    case OutcomeClass::kCut:
      return "cut";
    case OutcomeClass::kFailed:
      return "failed";
    case OutcomeClass::kAbandoned:
      return "abandoned";
  }
  return "failed";
}

std::string_view violationName(Violation violation) {
  switch (violation) {
    case Violation::kIncomplete:
      return "incomplete";
    case Violation::kOutOfOrder:
      return "out_of_order";
    case Violation::kForeignText:
      return "foreign_text";
    case Violation::kEndMarker:
      return "end_marker";
    case Violation::kSilentEnd:
      return "silent_end";
    case Violation::kActionDoubled:
      return "action_doubled";
    case Violation::kActionLost:
      return "action_lost";
    case Violation::kFalseNotRun:
      return "false_not_run";
  }
  return "incomplete";
}

}  // namespace quincewick::loadgen
