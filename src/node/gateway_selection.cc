#include "kumquatmoor/node/gateway_selection.h"

#include "kumquatmoor/node/move_controller.h"

namespace kumquatmoor {

std::vector<std::string> SelectGateways(const MemberList& members,
                                        const std::string& zone, size_t count) {
  std::vector<std::string> alive;
  std::vector<std::string> reaching_platform;
  for (const auto* member : members.AliveIn(zone)) {
    alive.push_back(member->id());
    if (!member->without_platform()) reaching_platform.push_back(member->id());
  }
  return RendezvousTop(reaching_platform.empty() ? alive : reaching_platform,
                       "gateway", count);
}

}  // namespace kumquatmoor
