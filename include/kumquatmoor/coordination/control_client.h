#ifndef KUMQUATMOOR_COORDINATION_CONTROL_CLIENT_H_
#define KUMQUATMOOR_COORDINATION_CONTROL_CLIENT_H_

// ControlClient: a client of the gRPC service Control of the nodes.
//
//   ControlClient client(&faults);
//   auto reply = client.Sync(peer, request);
//
// Each call blocks until its timeout at most. It opens a new connection, so
// that a stalled connection cannot delay later calls. A call fails with
// kUnavailable if the peer could not be reached or refused the call, and
// otherwise with kUnknown. Refers to the fault plan, which may be null and must
// outlive the client. Thread-safe.

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "control.pb.h"
#include "kumquatmoor/protocol/failure.h"
#include "kumquatmoor/transport/fault_plan.h"

namespace kumquatmoor {

struct ControlPeer {
  std::string address;  // "IP:PORT".
  std::string zone;     // For fault injection; "" if not known.
  // Expected size of the reply to Sync, for which its timeout allows.
  uint64_t expected_bytes = 0;
};

class ControlClient {
 public:
  explicit ControlClient(const FaultPlan* faults) : m_faults(faults) {}

  // A peer that cannot be reached fails the call within 600 ms. The timeout of
  // the whole call grows with the expected size of the reply.
  Result<SyncReply> Sync(const ControlPeer& peer, const SyncRequest& request);
  Result<OfferReply> Offer(const ControlPeer& peer, const Batch& batch);
  Result<RecallReply> RecallVersion(const ControlPeer& peer,
                                    const RecallRequest& request);
  Result<StatusReply> GetStatus(const ControlPeer& peer);
  Result<NodesReply> GetNodes(const ControlPeer& peer);
  Result<ExplainReply> Explain(const ControlPeer& peer,
                               const std::string& service);
  // The requests that backend servers ran when they crashed.
  Result<CrashesReply> GetCrashes(const ControlPeer& peer);
  // Forgets the crashes of a request in the whole mesh.
  Result<ClearCrashesReply> ClearCrashes(const ControlPeer& peer,
                                         const std::string& key);

  // Requests the zone reports of `peers`, the roots of several zones,
  // concurrently. Returns one report for each peer; its `reached` is false if
  // the call failed.
  std::vector<ZoneReport> ReportZones(std::span<const ControlPeer> peers);

 private:
  const FaultPlan* m_faults;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_CONTROL_CLIENT_H_
