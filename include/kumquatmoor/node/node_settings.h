#ifndef KUMQUATMOOR_NODE_NODE_SETTINGS_H_
#define KUMQUATMOOR_NODE_NODE_SETTINGS_H_

// NodeSettings: the checked settings of kumquatmoord, read from JSON.
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
  kTable,     // Tables that kumquatmoorctl wrote.
  kOperator,  // What the deployment's operators wrote to its store.
};

struct NodeSettings {
  std::string id;
  std::string zone;
  std::string caller_address;   // HTTP from callers.
  std::string data_address;     // HTTP from other nodes.
  std::string control_address;  // gRPC and datagrams between nodes.
  std::string admin_address;    // HTTP from backend servers and operators.
  std::string platform_address;
  std::vector<std::string> seeds;  // Control addresses to join through.

  std::chrono::milliseconds default_deadline{2'000};
  std::chrono::milliseconds probe_interval{1'000};
  std::chrono::milliseconds drain_timeout{10'000};
  int64_t max_attempts = 3;
  int64_t gateways_per_zone = 2;
  // Where the configuration comes from.
  ConfigurationKind configuration = ConfigurationKind::kTable;
  // HTTP from the deployment: questions whether callers may be sent here, and
  // announcements in the deployment's own form. "": none.
  std::string readiness_address;
  std::string announce_address;
  std::string service;          // Of this host's backend server.
  std::string backend_address;  // Likewise; "": any that is announced.
  std::chrono::milliseconds announce_interval{1'500};
  // Requests that may wait for each slot of a backend server.
  int64_t waiting_per_slot = 0;
  // Retries of all nodes for one service: a part of its requests, and a number
  // that can be saved up beside it.
  double retry_ratio = 0.1;
  double retry_reserve = 160;
  // Time for which callers are served after SIGTERM until they moved away.
  std::chrono::milliseconds caller_grace{1'500};
  std::string log_level = "info";
  std::string log_file;  // Empty: standard error.
};

// The settings in the file at `path`. Fails with kInvalid and one line for
// each problem, which names the key's path.
Result<NodeSettings> ReadNodeSettings(const std::string& path);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_NODE_SETTINGS_H_
