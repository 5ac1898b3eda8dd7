#ifndef KUMQUATMOOR_NODE_CONTROL_LOOP_H_
#define KUMQUATMOOR_NODE_CONTROL_LOOP_H_

// ControlLoop: the control thread of a node. It owns the replica, the
// acknowledgement tree, the node's part in moves and the registry of local
// backend servers, and is the only thread that touches them.
//
//   ControlLoop loop(context, options, &faults, &proxy, &outcomes, &syncs);
//   loop.Start();
//   auto reply = loop.Run<StatusReply>([](ControlLoop& l) { ... });
//
// Other threads reach it through Post and Run, which go through a bounded
// ring; a full ring refuses.

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "kumquatmoor/coordination/ack_tree.h"
#include "kumquatmoor/coordination/member_directory.h"
#include "kumquatmoor/coordination/replica.h"
#include "kumquatmoor/node/backend_registry.h"
#include "kumquatmoor/node/move_controller.h"
#include "kumquatmoor/node/proxy.h"
#include "kumquatmoor/transport/bounded_ring.h"
#include "kumquatmoor/transport/datagram_socket.h"

namespace kumquatmoor {

struct ControlLoopOptions {
  ReplicaOptions replica;
  size_t gateways_per_zone = 2;
  // Time without a datagram from any member after which a node reads the
  // platform itself. Probes bring an answer each second.
  std::chrono::milliseconds isolation_timeout{1'500};
  // Time for which others hold a newer batch after which it does so as well.
  std::chrono::milliseconds max_time_behind{600};
  // A node whose calls to the platform failed is a gateway's candidate again
  // after this time: that of a long partition.
  std::chrono::milliseconds platform_retry_delay{10'000};
};

class ControlLoop {
 public:
  using Command = std::function<void(ControlLoop&)>;

  // Refers to everything passed by pointer; all of it must outlive the loop.
  ControlLoop(boost::asio::io_context& context, ControlLoopOptions options,
              const FaultPlan* faults, Proxy* proxy,
              BoundedRing<Outcome>* outcomes, BoundedRing<SyncPeer>* syncs);

  // Binds the datagram socket. Call before the context runs.
  boost::system::error_code Start();

  // Runs `command` on the control thread. False if the ring is full. Safe from
  // any thread.
  bool Post(Command command);
  // Runs `function` there and waits for its value; nothing if it takes longer
  // than `wait`. Not to be called from the control thread itself.
  template <typename T>
  std::optional<T> Run(
      std::function<T(ControlLoop&)> function,
      std::chrono::milliseconds wait = std::chrono::milliseconds(2'000));

  // The rest only on the control thread.
  Replica& GetReplica() { return m_replica; }
  const MoveController& GetMoveController() const { return m_move_controller; }
  // The node serves requests from now on.
  void SetReady() { m_ready = true; }
  bool IsReady() const { return m_ready; }
  // The platform was read; what it holds was taken.
  void SetStoreLoaded() { m_store_loaded = true; }
  bool IsStoreLoaded() const { return m_store_loaded; }
  // True if callers may be sent here. Safe from any thread.
  bool AcceptsCallers() const { return m_accepts_callers; }
  void ApplySourceUpdate(const SourceUpdate& news);
  // Whether the last call to the platform was answered.
  void SetPlatformReachable(bool reachable);
  MeshProgress Progress() const;
  const std::vector<DirectoryEntry>& Directory() const { return m_directory; }
  DirectoryPlan PlanOwnDirectory() const;
  // False if the announcement is older than what is known of the backend
  // server, and changes nothing.
  bool Announce(const Announcement& announcement);
  // The backend server says that it leaves.
  bool Withdraw(const Deregistration& withdrawal);
  // Tells the mesh that every local backend server is draining.
  void StartDrain();
  void Leave();
  // The acknowledgements of this node's subtree.
  SubtreeReport ZoneSubtree() const;
  // For each zone, the live member that knows its acknowledgements.
  std::vector<MemberRecord> ZoneRoots() const;
  // True if this node speaks with the platform: it is one of its zone's
  // gateways, hears from no other node, or gets no newer batch from them.
  bool IsGateway() const;
  // Control traffic, in the Prometheus text format.
  std::string ControlMetrics() const;

 private:
  void Tick();
  void RunPostedCommands();
  void OnBytes(std::string_view bytes);
  void Send(const std::vector<OutgoingDatagram>& out);
  void SendTo(const std::string& member_id, const Datagram& datagram);
  void PublishNewBatch();
  void PublishRoutes();
  void PublishBackends();
  std::vector<std::string> OwnZoneIds() const;
  void UpdateAckTree(TimePoint now);
  void UpdateMoves(TimePoint now);
  void NoteLeaving(const std::string& instance, int64_t started_ms);
  void ClearPlatformFailure(TimePoint now);
  void RestoreLeavingInstances();
  bool IsOutgoingVersion(const std::string& service,
                         const std::string& version) const;
  void ReopenVersions();
  void CloseOutgoingVersions();
  void OnVersionClosed(const std::string& service, const std::string& version);
  bool IsIsolated() const;
  void LogChanges();
  Datagram MakeDatagram(Datagram::Kind kind) const;

  boost::asio::io_context& m_context;
  ControlLoopOptions m_options;
  Proxy* m_proxy;
  BoundedRing<Outcome>* m_outcomes;
  BoundedRing<SyncPeer>* m_syncs;
  BoundedRing<Command> m_commands;
  DatagramSocket m_socket;
  boost::asio::steady_timer m_timer;
  Replica m_replica;
  AckTree m_ack_tree;
  MoveController m_move_controller;
  BackendRegistry m_registry;
  bool m_ready = false;
  bool m_store_loaded = false;
  std::vector<DirectoryEntry> m_directory;
  std::atomic<bool> m_accepts_callers{false};
  TimePoint m_platform_retry_at;
  TimePoint m_last_datagram_at;  // Last datagram of another node.
  // Versions of local backend servers that lost their share in a move.
  std::set<std::pair<std::string, std::string>> m_closing;
  size_t m_published_live = 0;
  bool m_draining = false;
  std::shared_ptr<const RouteTable> m_published;
  uint64_t m_published_change = 0;
  std::set<std::string> m_published_unreachable;
  uint64_t m_ack_tree_version = 0;  // Of those alive.
  uint64_t m_published_revision = 0;
  uint64_t m_logged_revision = 0;
  int64_t m_in_force_ms = 0;  // Unix time since which it is in force.
  size_t m_logged_warnings = 0;
  TimePoint m_next_move_update;
  TimePoint m_next_ack_update;
};

template <typename T>
std::optional<T> ControlLoop::Run(std::function<T(ControlLoop&)> function,
                                  std::chrono::milliseconds wait) {
  auto promise = std::make_shared<std::promise<T>>();
  auto future = promise->get_future();
  const bool posted =
      Post([promise, function = std::move(function)](ControlLoop& loop) {
        promise->set_value(function(loop));
      });
  if (!posted || future.wait_for(wait) != std::future_status::ready) {
    return std::nullopt;
  }
  return future.get();
}

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_CONTROL_LOOP_H_
