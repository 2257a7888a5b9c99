#include "fault_switches.h"

#include <array>

namespace quincewick::soak {

void setTrouble(StoreTrouble& trouble, FaultKind kind, bool is_struck, bool on) {
  trouble.refuses = kind == FaultKind::kStoreRefuses && is_struck ? on : trouble.refuses;
  trouble.is_silent = kind == FaultKind::kStoreDown || (kind == FaultKind::kStoreSilent && is_struck)
                          ? on
                          : trouble.is_silent;
  trouble.is_slow = kind == FaultKind::kStoreSlow ? on : trouble.is_slow;
  trouble.loses_answers = kind == FaultKind::kStoreLosesAnswers ? on : trouble.loses_answers;
}

void setSpeech(Speech& speech, const Fault& fault, bool on) {
  static constexpr std::array kRates = {0.0, 0.5, 1.1, 4.0, 12.0};
  if (fault.kind == FaultKind::kBackEndNamesRate) {
    speech.rate = on ? std::optional(kRates.at(fault.target % kRates.size())) : std::nullopt;
  } else if (fault.kind == FaultKind::kBackEndRests) {
    speech.rest = on ? std::optional(fault.lasts / 2) : std::nullopt;
  } else {
    speech.is_ill = on;
  }
}

void setMisbehaviour(Misbehaviour& misbehaviour, FaultKind kind, bool on) {
  misbehaviour.refuses = kind == FaultKind::kBackEndRefuses ? on : misbehaviour.refuses;
  misbehaviour.fails = kind == FaultKind::kBackEndFails ? on : misbehaviour.fails;
  misbehaviour.loses_answers = kind == FaultKind::kAnswersLost ? on : misbehaviour.loses_answers;
  misbehaviour.cuts_answers = kind == FaultKind::kAnswersCut ? on : misbehaviour.cuts_answers;
}

}  // namespace quincewick::soak
