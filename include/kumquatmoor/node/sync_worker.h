#ifndef KUMQUATMOOR_NODE_SYNC_WORKER_H_
#define KUMQUATMOOR_NODE_SYNC_WORKER_H_

// SyncWorker: the thread that joins the mesh and then pulls the state that the
// replica lacks from other members.
//
//   SyncWorker worker(options, &loop, &client, &syncs);
//   worker.Start();
//
// A node starts without any state. To join, it synchronises with several
// members: the seeds of its settings, and one member of each other zone that it
// knows. Meanwhile the gateway thread reads the platform, whose member
// directory names further members. Of members that do not reply to a small
// request, none is waited for. The node is ready as soon as a member has
// replied or the platform was read. Until then it retries with exponential
// backoff and full jitter, so that many nodes that restart together do not
// retry in step.
//
// After joining, it synchronises with each peer that the control loop puts into
// `syncs`. It also synchronises regularly with a seed that is no live member,
// which merges meshes that formed separately.
//
// Peers that do not reply must not keep the node from a newer batch. Further
// threads therefore ask one more peer each time that all synchronisations under
// way take longer than kStallTime. A peer that failed or was busy is not asked
// again for a while; another one that holds the newer batch is asked in its
// place at once.
//
// Start and Stop must be called from one thread, Start once. The destructor
// calls Stop. Everything passed by pointer must outlive the worker.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "kumquatmoor/coordination/control_client.h"
#include "kumquatmoor/node/control_loop.h"

namespace kumquatmoor {

struct SyncWorkerOptions {
  std::string own_address;  // Control address of this node.
  std::vector<std::string>
      seeds;  // Control addresses of members to join through.
  // Number of successful synchronisations after which a join attempt contacts
  // no further members of the same group (seeds, or members in the replica).
  size_t peers_to_ask = 3;
  std::chrono::milliseconds initial_backoff{200};
  std::chrono::milliseconds max_backoff{1'000};
  uint64_t seed = 1;  // Of the random number generator.
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
  enum class SyncOutcome { kCompleted, kFailed, kBusy };
  struct ActiveCall {
    std::string address;
    std::chrono::steady_clock::time_point since;
  };
  // Lists a synchronisation among those under way as long as it exists.
  class Call {
   public:
    Call(SyncWorker* worker, const std::string& address);
    ~Call();
    Call(const Call&) = delete;
    Call& operator=(const Call&) = delete;

   private:
    SyncWorker* m_worker;
    std::list<ActiveCall>::iterator m_position;
  };

  void Run();
  // Body of the other threads.
  void RunBackup();
  // True if all synchronisations under way stall and no other thread is about
  // to start one. Otherwise waits until that may be so.
  bool AwaitStall();
  // Lets other threads start a backup.
  void EndBackup();
  // Synchronises with `peer`, or with others ahead of this node if that fails.
  void SyncWithScheduled(SyncPeer peer);
  SyncOutcome SyncWith(const SyncPeer& peer);
  // Returns a peer with a newer batch that no thread synchronises with and that
  // did not fail recently.
  std::optional<SyncPeer> PickPeerAhead();
  bool IsBehind();
  bool IsInCall(const std::string& address);
  bool IsPaused(const std::string& address);
  void PausePeer(const std::string& address, std::chrono::milliseconds time);
  bool TryJoin();
  size_t SyncWithPeers(std::vector<ControlPeer> peers);
  SyncOutcome SyncWith(const ControlPeer& peer, bool joining);
  void SyncWithUnknownSeed();
  std::vector<ControlPeer> SeedPeers();
  bool IsStoreLoaded();
  bool NeedsWholeBatch();
  std::vector<ControlPeer> OtherZonePeers();
  void SleepWithJitter(std::chrono::milliseconds max_duration);

  SyncWorkerOptions m_options;
  ControlLoop* m_loop;
  ControlClient* m_client;
  BoundedRing<SyncPeer>* m_syncs;
  std::mt19937_64 m_rng;
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
  std::vector<std::thread> m_backup_threads;
  std::mutex m_mutex;  // Guards the members below.
  std::condition_variable m_call_started;
  std::list<ActiveCall> m_calls;  // Oldest first.
  bool m_starts_backup = false;   // A thread looks for a peer for a backup.
  // Addresses of peers that failed or were busy, until when they are not asked.
  std::map<std::string, std::chrono::steady_clock::time_point> m_paused;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_SYNC_WORKER_H_
