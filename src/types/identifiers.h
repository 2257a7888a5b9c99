// The identifiers that all modules share.
#pragma once

#include "types/strong_id.h"

namespace quincewick {

using TenantId = StrongString<struct TenantIdTag>;
using ModelName = StrongString<struct ModelNameTag>;
using AdapterName = StrongString<struct AdapterNameTag>;  // empty: the base model
using RequestKind = StrongString<struct RequestKindTag>;  // operator-defined kind of request
using GroupName = StrongString<struct GroupNameTag>;      // a group of back ends that selectors name
using ZoneName = StrongString<struct ZoneNameTag>;
using RegionName = StrongString<struct RegionNameTag>;
using NodeId = StrongString<struct NodeIdTag>;        // one router instance; stable across restarts
using BackEndId = StrongString<struct BackEndIdTag>;  // one engine or action server; stable across restarts
using RequestId = StrongString<struct RequestIdTag>;  // unique for each request; also its trace id
using IdempotencyKey = StrongString<struct IdempotencyKeyTag>;  // chosen by the caller for an action
// Version of a server's software; servers of one version behave alike. Empty if the server reports none.
using SoftwareVersion = StrongString<struct SoftwareVersionTag>;
using OperationId = StrongString<struct OperationIdTag>;  // identifies one write, so that it can be read back

// Rises with each restart of a process. Anything learnt of an older incarnation is void.
using Incarnation = StrongNumber<struct IncarnationTag>;
// Rises with each set of weights of one model.
using WeightsVersion = StrongNumber<struct WeightsVersionTag>;
// The version of the accepted configuration; only rises.
using ConfigurationVersion = StrongNumber<struct ConfigurationVersionTag>;
// Fences the holders of a lease: a later holder has a greater epoch.
using Epoch = StrongNumber<struct EpochTag>;
// A position in an ordered stream of orders or events.
using Sequence = StrongNumber<struct SequenceTag>;

}  // namespace quincewick
