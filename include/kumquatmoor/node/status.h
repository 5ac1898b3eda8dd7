#ifndef KUMQUATMOOR_NODE_STATUS_H_
#define KUMQUATMOOR_NODE_STATUS_H_

// What a node reports to operators: the status of each service, and where a
// request would be routed and why. Pure functions of the node's replica.

#include <cstdint>
#include <string>
#include <vector>

#include "control.pb.h"
#include "kumquatmoor/coordination/replica.h"
#include "kumquatmoor/node/move_controller.h"

namespace kumquatmoor {

// The status of one service at the Unix time `unix_ms`. Its outcome is one of
// "steady" (no move), "moving", "late" (the deadline passed before every zone
// was at full stage), "done" (settled in every zone) and "taken back" (rolled
// back).
ServiceStatus MakeServiceStatus(const ServiceConfig& config,
                                const Replica& replica,
                                const MoveController& move_controller,
                                int64_t unix_ms);

// Explains in text lines how requests for `service` are routed from `zone`: the
// stage of its move, each version's share and the version's targets.
std::vector<std::string> ExplainService(const std::string& service,
                                        const Replica& replica,
                                        const std::string& zone);

// The mark by which an operator recalls a version. If the recall is not
// allowed, `problem` holds the reason and `mark` is empty.
struct RecallMark {
  MoveMark mark;
  std::string problem;
};
// Only a canary version of `batch` can be recalled. An operator lowers the
// share of another version by a new table.
RecallMark MakeRecallMark(const RecallRequest& request, const Batch& batch,
                          int64_t unix_ms);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_STATUS_H_
