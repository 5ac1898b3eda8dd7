#ifndef KUMQUATMOOR_NODE_SYNC_WORKER_H_
#define KUMQUATMOOR_NODE_SYNC_WORKER_H_

// SyncWorker: the thread that joins the mesh and then pulls what the replica
// lacks from other members.
//
//   SyncWorker worker(options, &loop, &client, &syncs);
//   worker.Start();
//
// A node that starts holds nothing. It asks several members, of other zones
// where it can; the gateway thread reads the platform, which also names members
// to ask. It serves once it has heard of either. While nobody answers it tries
// again with full jitter, so that a herd that restarts does not come back in
// step.

#include <atomic>
#include <chrono>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "kumquatmoor/coordination/control_client.h"
#include "kumquatmoor/node/control_loop.h"

namespace kumquatmoor {

struct SyncWorkerOptions {
  std::string own_address;  // Not to be asked.
  std::vector<std::string> seeds;
  size_t peers_to_ask = 3;
  std::chrono::milliseconds first_backoff{200};
  std::chrono::milliseconds longest_backoff{1'000};
  uint64_t seed = 1;
};

class SyncWorker {
 public:
  SyncWorker(SyncWorkerOptions options, ControlLoop* loop,
             ControlClient* client, BoundedRing<SyncPeer>* syncs);
  ~SyncWorker();
  SyncWorker(const SyncWorker&) = delete;
  SyncWorker& operator=(const SyncWorker&) = delete;

  void Start();
  void Stop();

 private:
  void Run();
  bool TryJoin();
  size_t SyncWithPeers(std::vector<ControlPeer> peers);
  bool SyncWith(const ControlPeer& peer, bool joining);
  void SyncWithUnknownSeed();
  std::vector<ControlPeer> SeedPeers();
  bool IsStoreLoaded();
  std::vector<ControlPeer> OtherZonePeers();
  void Pause(std::chrono::milliseconds longest);

  SyncWorkerOptions m_options;
  ControlLoop* m_loop;
  ControlClient* m_client;
  BoundedRing<SyncPeer>* m_syncs;
  std::mt19937_64 m_rng;
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_SYNC_WORKER_H_
