#ifndef KUMQUATMOOR_NODE_NODE_SETTINGS_H_
#define KUMQUATMOOR_NODE_NODE_SETTINGS_H_

// NodeSettings: the validated settings of kumquatmoord, read from JSON.
//
//   auto settings = Attempt([&] { return ReadNodeSettings(path); });
//
// docs/OPERATIONS.md lists every key.

#include <chrono>
#include <string>
#include <vector>

#include "kumquatmoor/protocol/failure.h"

namespace kumquatmoor {

enum class ConfigurationKind {
  kTable,     // Tables that kumquatmoorctl writes.
  kOperator,  // Items that the deployment's operators write to its store.
};

struct NodeSettings {
  std::string id;
  std::string zone;
  // Every address is "IP:PORT".
  std::string caller_address;   // Listens for HTTP from callers.
  std::string data_address;     // Listens for HTTP from other nodes.
  std::string control_address;  // Listens for gRPC and datagrams of the mesh.
  // Listens for HTTP from backend servers and operators.
  std::string admin_address;
  std::string platform_address;  // Where the platform listens.
  std::vector<std::string>
      seeds;  // Control addresses of members to join through.

  // For requests that carry no deadline.
  std::chrono::milliseconds default_deadline{2'000};
  // Time between two membership probes.
  std::chrono::milliseconds probe_interval{1'000};
  // Time between SIGTERM and SIGKILL. Zero: unknown.
  std::chrono::milliseconds shutdown_grace{0};
  // Time after which a drain aborts the requests in flight.
  std::chrono::milliseconds drain_timeout{10'000};
  // Time after that to write responses.
  std::chrono::milliseconds reply_timeout{200};
  int64_t max_attempts = 3;  // Per request, unless its route sets a limit.
  int64_t gateways_per_zone = 2;
  // The source of the configuration.
  ConfigurationKind configuration = ConfigurationKind::kTable;
  // Listens for the deployment's readiness checks: whether callers may be sent
  // to this node. Empty: disabled.
  std::string readiness_address;
  // Listens for announcements in the deployment's own format. Empty: disabled.
  std::string announce_address;
  // The service that this host's backend server runs. May be empty.
  std::string service;
  // The address of this host's backend server. Empty: any announced address.
  std::string backend_address;
  std::chrono::milliseconds announce_interval{1'500};
  // Requests that may wait for each slot of a backend server.
  int64_t waiting_per_slot = 0;
  // Retries and calls of retries of a service, over all nodes and in any
  // period, for each request.
  double retry_ratio = 0.2;
  // Time for which a key may be accepted after it was revoked. Zero: as long as
  // the node does not know of the revocation.
  std::chrono::milliseconds key_revocation{0};
  // Hedged requests for 100 requests of callers; 0: none.
  double hedge_percent = 0;
  // Time after SIGTERM for which callers are still served, so that they can
  // switch to another node.
  std::chrono::milliseconds caller_grace{1'500};
  // Rate of the host's link in Mbit/s, 0 if unknown. Requests and responses to
  // other nodes are paced below it, so that control traffic does not wait.
  double link_mbps = 0;
  // Responses to callers use this link, too.
  bool callers_use_link = false;
  // Memory that the process may use, in MB, 0 if unknown. A part of it is for
  // the requests and responses of all connections together.
  int64_t memory_mb = 0;
  std::string log_level = "info";
  std::string log_file;  // Empty: standard output.
};

// Reads and validates the settings in the file at `path`. Fails with kInvalid;
// the message has one line for each problem, which names the path of the key.
Result<NodeSettings> ReadNodeSettings(const std::string& path);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_NODE_SETTINGS_H_
