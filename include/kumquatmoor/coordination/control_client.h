#ifndef KUMQUATMOOR_COORDINATION_CONTROL_CLIENT_H_
#define KUMQUATMOOR_COORDINATION_CONTROL_CLIENT_H_

// ControlClient: calls the gRPC service of a node.
//
//   ControlClient client(&faults);
//   auto reply = client.Sync(peer, request);
//
// Each call blocks for at most its timeout and uses a connection of its own,
// so that one gone silent cannot hold up the next. Thread-safe.

#include <chrono>
#include <span>
#include <string>
#include <vector>

#include "control.pb.h"
#include "kumquatmoor/protocol/failure.h"
#include "kumquatmoor/transport/fault_plan.h"

namespace kumquatmoor {

struct ControlPeer {
  std::string address;  // "IP:PORT".
  std::string zone;     // For injected faults; "" if not known.
};

class ControlClient {
 public:
  explicit ControlClient(const FaultPlan* faults) : m_faults(faults) {}

  Result<SyncReply> Sync(const ControlPeer& peer, const SyncRequest& request);
  Result<OfferReply> Offer(const ControlPeer& peer, const Batch& batch);
  Result<RecallReply> RecallVersion(const ControlPeer& peer,
                                    const RecallRequest& request);
  Result<StatusReply> GetStatus(const ControlPeer& peer);
  Result<NodesReply> GetNodes(const ControlPeer& peer);
  Result<ExplainReply> Explain(const ControlPeer& peer,
                               const std::string& service);

  // Asks several zones' roots at the same time; one report for each peer, not
  // `reached` where no answer came.
  std::vector<ZoneReport> ReportZones(std::span<const ControlPeer> peers);

 private:
  const FaultPlan* m_faults;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_CONTROL_CLIENT_H_
