#ifndef KUMQUATMOOR_COORDINATION_REPLICA_TYPES_H_
#define KUMQUATMOOR_COORDINATION_REPLICA_TYPES_H_

// Options and results of Replica.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "control.pb.h"
#include "kumquatmoor/coordination/member_list.h"

namespace kumquatmoor {

struct ReplicaOptions {
  std::string id;
  std::string zone;
  std::string control_address;
  std::string data_address;
  // Unix time of the process start, which is the first incarnation.
  int64_t started_ms = 0;
  uint64_t seed = 1;
  size_t fanout = 3;           // Members that each update is pushed to.
  size_t indirect_probes = 2;  // Members that are asked for an indirect probe.
  std::chrono::milliseconds probe_interval{1'000};
  // Time without an ACK after which indirect probes are sent.
  std::chrono::milliseconds probe_timeout{300};
  // Time without a refutation after which a suspect is declared dead.
  std::chrono::milliseconds suspicion_timeout{3'000};
  // Number of consecutive digests with different members or marks that starts
  // a synchronisation.
  uint32_t mismatches_before_sync = 3;
};

// A datagram that the caller has to send.
struct OutgoingDatagram {
  std::string address;
  std::string zone;  // The receiver's zone, "" if not known.
  Datagram datagram;
};

// A member to synchronise with over gRPC.
struct SyncPeer {
  std::string id;
  std::string zone;
  std::string address;
  uint64_t expected_bytes = 0;  // Size of the newer batch, 0 if there is none.
};

// The probes of this node that ended since the last TakeProbeDelays().
struct ProbeDelays {
  std::chrono::milliseconds max_round_trip{0};  // Of the acknowledged probes.
  uint64_t acknowledged = 0;
  uint64_t failed = 0;  // No ACK within the probe interval.
};

// The path by which a batch reached this node.
enum class BatchPath {
  kPushedDelta,  // A delta in a datagram.
  kSyncDelta,    // A delta, by a synchronisation.
  kSyncBatch,    // The whole batch, by a synchronisation.
  kOffered,      // Read from the platform by this node, or offered by a client.
};

// How this node got its current batch.
struct BatchArrival {
  BatchPath path = BatchPath::kOffered;
  // When a digest first showed that another node held a newer batch than the
  // previous one; empty if none did.
  std::optional<TimePoint> behind_since;
};

enum class OfferOutcome {
  kApplied,
  kOld,       // Not newer than the current batch.
  kInvalid,   // Rejected by CheckBatch().
  kConflict,  // Same revision as the current batch, different contents.
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_REPLICA_TYPES_H_
