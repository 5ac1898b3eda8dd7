#ifndef KUMQUATMOOR_NODE_GATEWAY_H_
#define KUMQUATMOOR_NODE_GATEWAY_H_

// Gateway: the thread that stands between the mesh and the platform while the
// node holds one of its zone's gateway leases.
//
//   Gateway gateway(options, &loop, &platform, &store);
//   gateway.Start();
//
// It watches `head` and offers new batches to the replica, which spreads them;
// it writes the marks of moves to the platform and publishes addresses for
// nodes that join. Only a few candidates per zone ask for a lease, so calls to
// the platform grow with the zones, never with the nodes. A gateway whose
// lease has lapsed unnoticed does no harm: batches are immutable, revisions
// only rise and marks are joined.

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <thread>

#include "kumquatmoor/coordination/platform.h"
#include "kumquatmoor/coordination/table_store.h"
#include "kumquatmoor/node/control_loop.h"

namespace kumquatmoor {

struct GatewayOptions {
  std::string id;
  std::string zone;
  size_t leases = 2;  // Per zone.
  std::chrono::milliseconds lease_ttl{6'000};
  std::chrono::milliseconds watch_wait{2'000};
  std::chrono::milliseconds retry_pause{1'000};
};

class Gateway {
 public:
  Gateway(GatewayOptions options, ControlLoop* loop, Platform* platform,
          TableStore* store);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  void Start();
  void Stop();
  bool IsActive() const { return m_active; }

 private:
  void Run();
  bool HoldLease();
  void Serve();
  void TakeHead(const PlatformEntry& entry);
  void WriteMarks();
  void PublishSeeds();
  void Pause(std::chrono::milliseconds time);

  GatewayOptions m_options;
  ControlLoop* m_loop;
  Platform* m_platform;
  TableStore* m_store;
  std::string m_lease;  // Name of the one held, or "".
  uint64_t m_head_version = 0;
  uint64_t m_written_marks = 0;  // Hash.
  std::string m_written_seeds;
  std::chrono::steady_clock::time_point m_next_seeds;
  std::atomic<bool> m_active{false};
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_GATEWAY_H_
