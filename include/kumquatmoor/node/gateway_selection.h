#ifndef KUMQUATMOOR_NODE_GATEWAY_SELECTION_H_
#define KUMQUATMOOR_NODE_GATEWAY_SELECTION_H_

// Selects the gateways of a zone: the members that read the platform for it.
//
//   if (Contains(SelectGateways(members, "zone-a", 1), own_id)) Watch();
//
// Uses rendezvous hashing over the live members of the zone, so every member
// computes the same selection. Members that announce that they cannot reach the
// platform are left out: a member that is cut off from the platform only is
// alive for all others, and as the gateway it would hide every change from its
// zone. If no member reaches the platform, all live members are candidates, so
// that calls to the platform continue. Pure function.

#include <cstddef>
#include <string>
#include <vector>

#include "kumquatmoor/coordination/member_list.h"

namespace kumquatmoor {

// The ids of up to `count` gateways of `zone`.
std::vector<std::string> SelectGateways(const MemberList& members,
                                        const std::string& zone, size_t count);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_GATEWAY_SELECTION_H_
