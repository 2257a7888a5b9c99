// What faults that last switch on and off. Pure.
#pragma once

#include "back_ends.h"
#include "schedule.h"
#include "store.h"

namespace quincewick::soak {

// `is_struck`: the fault's target is that gateway.
void setTrouble(StoreTrouble& trouble, FaultKind kind, bool is_struck, bool on);
void setSpeech(Speech& speech, const Fault& fault, bool on);
void setMisbehaviour(Misbehaviour& misbehaviour, FaultKind kind, bool on);

}  // namespace quincewick::soak
