// What faults that last switch on and off. Pure.
#pragma once

#include "back_ends.h"
#include "schedule.h"
#include "store.h"

namespace quincewick::soak {

// `is_target`: the fault's target is that gateway.
void setStoreFault(StoreFaults& faults, FaultKind kind, bool is_target, bool on);
void setAnnouncement(Announcements& announcements, const Fault& fault, bool on);
void setRequestFault(RequestFaults& request_faults, FaultKind kind, bool on);

}  // namespace quincewick::soak
