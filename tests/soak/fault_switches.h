// Switches faults that have a duration on and off. No I/O.
#pragma once

#include "back_ends.h"
#include "schedule.h"
#include "store.h"

namespace quincewick::soak {

// `is_target`: whether this gateway is the fault's target.
void setStoreFault(StoreFaults& faults, FaultKind kind, bool is_target, bool on);
void setAnnouncement(Announcements& announcements, const Fault& fault, bool on);
void setRequestFault(RequestFaults& request_faults, FaultKind kind, bool on);

}  // namespace quincewick::soak
