#ifndef KUMQUATMOOR_NODE_GATEWAY_H_
#define KUMQUATMOOR_NODE_GATEWAY_H_

// Gateway: the thread that stands between the mesh and the platform.
//
//   Gateway gateway(options, &loop, &platform, &source);
//   gateway.Start();
//
// While the node is one of its zone's gateways it waits for changes of the
// configuration and offers new batches to the replica, which spreads them; it
// writes the outcomes of moves and keeps the member directory. Gateways follow
// from the list of live members, so calls to the platform grow with the zones,
// never with the nodes, and need no lease: two gateways of a zone do no harm,
// since batches are a function of what the platform holds, their revisions only
// rise, and writes are conditional. A node that hears from no other one is its
// own gateway. One whose calls fail tells the others, and the next one of its
// zone takes over.

#include <atomic>
#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <thread>

#include "kumquatmoor/coordination/configuration_source.h"
#include "kumquatmoor/coordination/platform.h"
#include "kumquatmoor/node/control_loop.h"

namespace kumquatmoor {

struct GatewayOptions {
  // Bounds the time for which a connection gone silent hides changes.
  // A gateway that is cut off from the platform only finds out by it, and a
  // change has to be in force everywhere within 2 s.
  std::chrono::milliseconds watch_timeout{1'000};
  // Changes that follow each other this fast are taken together.
  std::chrono::milliseconds watch_pause{250};
  std::chrono::milliseconds first_backoff{200};
  std::chrono::milliseconds longest_backoff{1'000};
  // Between two looks at the directory. A node that starts waits for a part of
  // it, so that not every node of a herd writes an entry.
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
  void Run();
  bool IsNeeded();
  void Serve();
  void Deliver(SourceUpdate news);
  void RecordFailure(const Failure& failure);
  void ReportProgress();
  void MaintainDirectory();
  void Pause(std::chrono::milliseconds time);
  void BackOff();

  GatewayOptions m_options;
  ControlLoop* m_loop;
  Platform* m_platform;
  ConfigurationSource* m_source;
  std::mt19937_64 m_rng;
  bool m_loaded = false;
  bool m_reachable = true;  // The platform, at the last call.
  std::chrono::milliseconds m_backoff;
  std::chrono::steady_clock::time_point m_next_directory_update;
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_GATEWAY_H_
