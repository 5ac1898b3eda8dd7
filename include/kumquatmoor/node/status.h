#ifndef KUMQUATMOOR_NODE_STATUS_H_
#define KUMQUATMOOR_NODE_STATUS_H_

// What a node tells operators: the status of each service, and why a request
// would go where. Pure functions over what the node knows.

#include <cstdint>
#include <string>
#include <vector>

#include "control.pb.h"
#include "kumquatmoor/coordination/replica.h"
#include "kumquatmoor/node/move_controller.h"

namespace kumquatmoor {

// The status of one service. Outcomes: steady, moving, late, done, taken back.
ServiceStatus MakeServiceStatus(const ServiceConfig& config,
                                const Replica& replica,
                                const MoveController& mover, int64_t unix_ms);

// Lines that say where requests for `service` go from `zone`, and why.
std::vector<std::string> ExplainService(const std::string& service,
                                        const Replica& replica,
                                        const std::string& zone);

// The mark by which an operator takes a version back; `problem` says why not.
struct RecallMark {
  MoveMark mark;
  std::string problem;
};
RecallMark MakeRecallMark(const RecallRequest& request, const Batch& batch,
                          int64_t unix_ms);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_STATUS_H_
