#ifndef KUMQUATMOOR_NODE_GATEWAY_SELECTION_H_
#define KUMQUATMOOR_NODE_GATEWAY_SELECTION_H_

// Chooses the members of a zone that read the platform for it.
//
//   if (Contains(SelectGateways(members, "zone-a", 1), own_id)) Watch();
//
// Rendezvous hashing over the live members of the zone, without those that say
// that they cannot reach the platform. A member that is cut off from the
// platform only is alive for all others, and would hide every change from its
// zone. If nobody reaches it, all are candidates: somebody has to try. Pure.

#include <cstddef>
#include <string>
#include <vector>

#include "kumquatmoor/coordination/member_list.h"

namespace kumquatmoor {

std::vector<std::string> SelectGateways(const MemberList& members,
                                        const std::string& zone, size_t count);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_GATEWAY_SELECTION_H_
