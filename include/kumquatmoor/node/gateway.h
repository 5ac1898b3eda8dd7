#ifndef KUMQUATMOOR_NODE_GATEWAY_H_
#define KUMQUATMOOR_NODE_GATEWAY_H_

// Gateway: the thread of a node that exchanges data with the platform.
//
//   Gateway gateway(options, &loop, &platform, &source);
//   gateway.Start();
//   ...
//   gateway.Stop();
//
// The thread works only while the node is selected as one of its zone's
// gateways (ControlLoop::IsGateway). It then waits for changes of the
// configuration and passes them to the control loop, which replicates new
// batches to the mesh. It also writes the outcomes of moves to the platform and
// maintains the member directory.
//
// Every node selects the gateways of its zone from its own list of live
// members. The number of calls to the platform thus grows with the number of
// zones, not of nodes. No lease is needed, since several gateways in a zone are
// harmless: a batch is a function of what the platform stores, revisions never
// decrease, and writes are conditional. A node that receives no messages from
// any other node is its own gateway. A gateway whose calls to the platform fail
// announces this to the mesh, and another node of its zone takes its place.
//
// A node that has not read the platform for long begins with the complete state
// when it becomes a gateway, since the changes since its last read are larger.
// A node that holds other contents than its peers under one revision also reads
// the complete state.
//
// All pointers must outlive the gateway. Start and Stop are called by one
// thread.

#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <thread>

#include "kumquatmoor/coordination/configuration_source.h"
#include "kumquatmoor/coordination/platform.h"
#include "kumquatmoor/node/control_loop.h"

namespace kumquatmoor {

struct GatewayOptions {
  // Longest wait for a change in one call. It also bounds the time for which a
  // dead connection hides changes: only the missing response shows a gateway
  // that it is cut off from the platform. A change has to be in force
  // everywhere within 2 s.
  std::chrono::milliseconds watch_timeout{1'000};
  // Pause between two calls. Changes within this time are read together.
  std::chrono::milliseconds watch_pause{250};
  // Bounds of the exponential backoff after a failed call.
  std::chrono::milliseconds initial_backoff{200};
  std::chrono::milliseconds max_backoff{1'000};
  // Interval between two updates of the member directory. The first update
  // comes after a random part of it, so that of many nodes that start at the
  // same time only some write an entry.
  std::chrono::milliseconds directory_interval{1'000};
  uint64_t seed = 1;
};

class Gateway {
 public:
  Gateway(GatewayOptions options, ControlLoop* loop, Platform* platform,
          ConfigurationSource* source);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  void Start();
  void Stop();

 private:
  // Body of the thread.
  void Run();
  // True if this node is one of its zone's gateways.
  bool IsSelected();
  // One round of reads and writes at the platform.
  void SyncWithPlatform();
  // True if the complete state has to be read, not the changes since the last
  // call.
  bool NeedsCompleteRead();
  // Passes an update to the control loop, and waits while its ring is full.
  // The read began at `began`.
  void Deliver(SourceUpdate update, std::optional<TimePoint> complete_since,
               BootTime began);
  // Logs a failed call and reports it to the control loop.
  void RecordFailure(const Failure& failure);
  // Prepares a read of the complete state.
  void OnHistoryLost(const Failure& failure);
  // Writes the outcomes of moves.
  void ReportProgress();
  // Writes this node's directory entry and removes obsolete entries, if due.
  void MaintainDirectory();
  // Sleeps for `duration`, or until Stop.
  void SleepFor(std::chrono::milliseconds duration);
  // Sleeps for a random part of the backoff, which doubles.
  void BackOff();

  GatewayOptions m_options;
  ControlLoop* m_loop;
  Platform* m_platform;
  ConfigurationSource* m_source;
  std::mt19937_64 m_rng;
  BatchStamp m_read_batch;  // The last one that the source had.
  bool m_loaded = false;    // The complete configuration has been read.
  bool m_reachable = true;  // The last call to the platform succeeded.
  std::chrono::milliseconds m_backoff;
  std::chrono::steady_clock::time_point m_next_directory_update;
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_GATEWAY_H_
