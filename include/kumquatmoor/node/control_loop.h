#ifndef KUMQUATMOOR_NODE_CONTROL_LOOP_H_
#define KUMQUATMOOR_NODE_CONTROL_LOOP_H_

// ControlLoop: the control thread of a node. It owns the replica of the mesh's
// state, the acknowledgement tree, the move controller and the registry of
// local backend servers. Only the control thread accesses them.
//
//   ControlLoop loop(context, options, &faults, &proxy, &outcomes, &syncs);
//   loop.Start();
//   std::thread control_thread([&] { context.run(); });
//   auto reply = loop.Run<StatusReply>([](ControlLoop& l) { ... });
//
// The control thread is the thread that runs `context`. Other threads call
// Post, PostUnbounded, Run and AcceptsCallers only; every other method belongs
// to the control thread. Post and Run queue a command in a bounded ring and
// fail if the ring is full; PostUnbounded queues it in the context.
//
// A timer tick drives the periodic work: membership probes, outcome reports,
// decisions on moves, the acknowledgement tree and the expiry of announcements.
// Datagrams are processed as they arrive. The proxy receives an immutable
// snapshot of the routes after each change: for a new batch at once, for other
// changes at the next tick.

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
#include <random>
#include <set>
#include <string>
#include <vector>

#include "kumquatmoor/coordination/ack_tree.h"
#include "kumquatmoor/coordination/batch_confirmation.h"
#include "kumquatmoor/coordination/member_directory.h"
#include "kumquatmoor/coordination/quota_exchange.h"
#include "kumquatmoor/coordination/replica.h"
#include "kumquatmoor/node/backend_registry.h"
#include "kumquatmoor/node/move_controller.h"
#include "kumquatmoor/node/proxy.h"
#include "kumquatmoor/state/evacuation.h"
#include "kumquatmoor/transport/bounded_ring.h"
#include "kumquatmoor/transport/datagram_socket.h"

namespace kumquatmoor {

struct ControlLoopOptions {
  ReplicaOptions replica;
  size_t gateways_per_zone = 2;
  // A node that received no datagram for this time counts as isolated and reads
  // the platform itself. A node that is not isolated receives at least the
  // response to its own probe each second.
  std::chrono::milliseconds isolation_timeout{1'500};
  // A node also reads the platform itself if other members have had a newer
  // batch than it has for this time.
  std::chrono::milliseconds max_time_behind{600};
  // A node whose calls to the platform failed may be selected as a gateway
  // again after this time, which is the length of a long partition.
  std::chrono::milliseconds platform_retry_delay{10'000};
  // As in ProxyOptions. If it is 0, members are told of no confirmations.
  std::chrono::milliseconds key_revocation{0};
  // Header of the health checks of local backend servers, see CallHeaders. They
  // are not read if it is empty.
  std::string cold_header;
};

class HealthProbe;

class ControlLoop {
 public:
  using Command = std::function<void(ControlLoop&)>;

  // Takes no ownership: everything that is passed by pointer or reference must
  // outlive the loop.
  ControlLoop(boost::asio::io_context& context, ControlLoopOptions options,
              const FaultPlan* faults, Proxy* proxy,
              BoundedRing<Outcome>* outcomes, BoundedRing<SyncPeer>* syncs);
  ~ControlLoop();

  // Binds the datagram socket and starts the timer. Call before the context
  // runs.
  boost::system::error_code Start();

  // Runs `command` on the control thread later. Returns false, and drops the
  // command, if the ring is full. Safe from any thread.
  bool Post(Command command);
  // Like Post, but never drops the command. For the few commands that nothing
  // repeats. Safe from any thread.
  void PostUnbounded(Command command);
  // Runs `function` on the control thread and waits for its result. Returns
  // nullopt if the ring is full or the result takes longer than `timeout`; in
  // the latter case `function` may still run. Must not be called from the
  // control thread.
  template <typename T>
  std::optional<T> Run(
      std::function<T(ControlLoop&)> function,
      std::chrono::milliseconds timeout = std::chrono::milliseconds(2'000));

  // Called on the control thread when the platform came back from an older
  // copy. Set it before the context runs.
  void SetGenerationHandler(std::function<void()> handler) {
    m_on_generation = std::move(handler);
  }

  // Except for AcceptsCallers, the methods below must be called on the control
  // thread.
  Replica& GetReplica() { return m_replica; }
  const MoveController& GetMoveController() const { return m_move_controller; }
  // The node has joined the mesh: from now on it publishes routes, probes other
  // members and takes part in moves.
  void SetReady();
  bool IsReady() const { return m_ready; }
  // The complete state was read from the platform and applied.
  void SetStoreLoaded();
  bool IsStoreLoaded() const { return m_store_loaded; }
  // True if the node holds a configuration, is not draining and has not been
  // behind other nodes for too long, so that callers may be sent to it. Safe
  // from any thread.
  bool AcceptsCallers() const { return m_accepts_callers; }
  // Applies a batch, marks and member directory that were read from the
  // platform. `complete_since` is the beginning of a read of the complete
  // state; empty for a read of changes.
  void ApplySourceUpdate(const SourceUpdate& update,
                         std::optional<TimePoint> complete_since);
  // A read of the platform that began at that time showed no newer batch than
  // that of the stamp, which has been applied before.
  void ConfirmRead(BootTime began, const BatchStamp& read);
  // Records whether the last call to the platform succeeded. While it did not,
  // other members select another gateway.
  void SetPlatformReachable(bool reachable);
  // The batch, the marks and the outcomes of open moves, for the platform.
  MeshProgress Progress() const;
  // The member directory as last read from the platform.
  const std::vector<DirectoryEntry>& Directory() const { return m_directory; }
  // Counts bytes of control traffic that this node sends outside this loop.
  void ChargeLink(size_t bytes) { m_proxy->ChargeLink(bytes); }
  // The changes that this node should make to the member directory.
  DirectoryPlan PlanOwnDirectory() const;
  // Registers or renews a local backend server. Returns false and changes
  // nothing if the announcement is older than the one on record.
  bool Announce(const Announcement& announcement);
  // True if the process on record started later than that of the announcement.
  bool IsOfEarlierProcess(const Announcement& announcement) const;
  // Marks a local backend server as draining, and remembers that its process
  // leaves, also if it is not known. Returns what is remembered.
  LeavingInstance Deregister(const Deregistration& deregistration);
  // Marks a local backend server that said in a response that it leaves as
  // draining, unless another process runs at its address by now.
  void OnBackendLeaving(const LocalBackend& backend);
  // The local backend server with this address counts as cold from `at` until
  // it announces itself again.
  void OnColdUnknown(const std::string& address, TimePoint at);
  // Replicates a crash of a local backend server, or its response to a request
  // that is known from a crash.
  void OnBackendCrash(const BackendCrash& crash);
  void OnSuspectResponse(const std::string& key, const std::string& service,
                         const std::string& version);
  // Asks the quota authorities for the tokens that the proxy requested at
  // `sent`, by BootTimePoint().
  void AskForQuota(const std::vector<QuotaRequest>& requests, TimePoint sent);
  // Forgets the crashes of a request in the whole mesh. Returns false if there
  // is no such record.
  bool ClearCrashes(const std::string& key);
  // Publishes every local backend server as draining and stops accepting
  // callers.
  void StartDrain();
  // Announces to the mesh that this node leaves.
  void Leave();
  // The acknowledgements that this node has aggregated for its subtree of the
  // zone's acknowledgement tree.
  SubtreeReport ZoneSubtree() const;
  // For each zone, the live member at the root of its acknowledgement tree.
  std::vector<MemberRecord> ZoneRoots() const;
  // True if this node should read the platform: it is one of its zone's
  // gateways, has not joined yet, is isolated, has had an older batch than
  // other members for too long, or holds other contents than they do.
  bool IsGateway() const;
  // True if it should read the complete state instead of changes: it holds
  // other contents than other members, or was paused for long.
  bool NeedsCompleteRead() const;
  // Revision, membership and control traffic in the Prometheus text format.
  std::string ControlMetrics() const;

 private:
  void Tick();
  void RunPostedCommands();
  void PublishCommandResults();
  void OnBytes(std::string_view bytes);
  void Send(const std::vector<OutgoingDatagram>& out);
  void SendTo(const std::string& member_id, const Datagram& datagram);
  void PublishNewBatch();
  void PublishRoutes();
  // Tells the proxy since when this node has known of a newer batch, and stops
  // accepting callers while the proxy refuses them.
  void PublishBehindSince();
  // Notices that the process did not run for some time, and asks other members
  // for a sign of life.
  void NotePause(TimePoint now);
  // Lets the proxy decide for some more time, unless the process was stopped
  // and has not heard of other members since.
  void ExtendDecisions(TimePoint now);
  // Confirmations are passed on to other members only where keys need them.
  bool SharesConfirmation() const;
  void ReceiveConfirmation(const Datagram& datagram, BootTime now);
  // Responds to a probe that asks for a confirmation only, or takes over the
  // one in its ACK. Returns false for other datagrams.
  bool OnConfirmationProbe(const Datagram& datagram, BootTime now);
  // Tells the proxy as of when the batch in force is confirmed, and some
  // members.
  void PublishConfirmation();
  void PushConfirmation();
  // Before the node has joined and has read the platform, it does not know
  // which of its backend servers had said before a restart that they leave, so
  // it publishes none.
  void PublishBackends();
  // Publishes the backend servers if one has become cold or warm.
  void UpdateCold(TimePoint now);
  // Begins to read the health checks of the local backend servers.
  void StartHealthProbe();
  // Notes the evacuated zones of the batch in force and the services' settings
  // of cold starts.
  void NoteBatchInForce(const Batch& batch, TimePoint now);
  // Asks for a complete read if the store lacks an evacuation of the batch in
  // force, which a listing does not show by a higher revision.
  void CheckRemovedEvacuations(TimePoint now);
  // Notes what the update shows of the store. Returns its batch, with a
  // revision that replaces one whose evacuations were removed.
  std::optional<Batch> NoteRead(const SourceUpdate& update, bool is_complete);
  // How long ago the process of an announcement started, if this node has just
  // started and may have missed its first announcement.
  std::chrono::milliseconds ProcessAge(const Announcement& announcement) const;
  // Publishes the backend servers once the departures are known. Asks other
  // members for them until then.
  void AwaitDepartures(TimePoint now);
  // Tells the generation handler if the store has a higher generation.
  void CheckGeneration();
  void ApplyDepartures(const std::vector<DepartureEntry>& entries);
  // Passes changed crash records to the proxy and logs requests that are newly
  // blocked or no longer blocked.
  void PublishCrashes();
  // Takes the quotas from a new batch, and passes quotas and the number of
  // members to the proxy if they, or the authorities, have changed.
  void UpdateQuotas();
  void OnQuotaDatagram(const Datagram& datagram, TimePoint now);
  void SendQuotas(QuotaExchange::Result result);
  std::vector<std::string> OwnZoneIds() const;
  void UpdateAckTree(TimePoint now);
  void UpdateMoves(TimePoint now);
  void NoteLeaving(const std::string& instance, int64_t started_ms);
  // Start time of the latest process that the deregistration concerns.
  int64_t LeavingSince(const Deregistration& deregistration) const;
  void ClearPlatformFailure(TimePoint now);
  void RestoreLeavingInstances();
  bool IsOutgoingVersion(const std::string& service,
                         const std::string& version) const;
  void ReopenVersions();
  void CloseOutgoingVersions();
  void OnVersionClosed(const std::string& service, const std::string& version);
  bool IsIsolated() const;
  void LogChanges();
  // Logs the revision in force, by which path it came and for how long the node
  // had been behind.
  void LogBatchInForce() const;
  // Logs how long probes took, how late ticks came, and for how long other
  // members have held a newer batch.
  void LogDelays(TimePoint now);
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
  BatchConfirmation m_confirmation;
  std::optional<BootTime> m_published_confirmation;
  uint64_t m_confirmation_probes = 0;
  std::mt19937_64 m_rng;
  AckTree m_ack_tree;
  MoveController m_move_controller;
  BackendRegistry m_registry;
  EvacuatedZones m_evacuated;
  EvacuationRead m_evacuation_read;  // Of the store, by this node.
  TimePoint m_next_evacuation_check;
  QuotaExchange m_quotas;
  std::shared_ptr<const Batch> m_quota_batch;  // That the quotas are of.
  std::shared_ptr<const QuotaLimits> m_quota_limits;
  std::unique_ptr<HealthProbe> m_health_probe;
  bool m_ready = false;
  bool m_store_loaded = false;
  bool m_knows_departures = false;
  TimePoint m_started_at;
  TimePoint m_next_departure_sync;
  uint64_t m_known_generation = 0;  // Of the store.
  std::vector<DirectoryEntry> m_directory;
  std::vector<DepartureEntry> m_departures;  // Of all nodes.
  std::function<void()> m_on_generation;
  std::atomic<bool> m_accepts_callers{false};
  TimePoint m_platform_retry_at;
  TimePoint m_last_datagram_at;  // When another node's datagram last arrived.
  // Outgoing versions of local backend servers that take no new requests, as
  // pairs of service and version.
  std::set<std::pair<std::string, std::string>> m_closing;
  uint64_t m_charged_bytes = 0;  // Of BytesSent(), given to ChargeLink().
  bool m_draining = false;
  std::shared_ptr<const RouteTable> m_published;
  std::shared_ptr<const Batch> m_published_batch;
  uint64_t m_published_change = 0;
  std::optional<TimePoint> m_published_behind_since;
  bool m_is_too_far_behind = false;  // The proxy refuses callers.
  TimePoint m_last_tick;
  // When the process was found to have been paused; empty once it has heard of
  // another member.
  std::optional<TimePoint> m_resumed_at;
  // The same after a long pause; empty once the complete state has been read.
  std::optional<TimePoint> m_unread_since;
  TimePoint m_decides_until;         // As the proxy was told.
  uint64_t m_published_crashes = 0;  // Hash of the crash records.
  std::set<std::string> m_blocked;   // Keys of the blocked requests.
  uint64_t m_backend_crashes = 0;    // Of local backend servers.
  std::set<std::string> m_published_unreachable;
  uint64_t m_ack_tree_version = 0;  // AliveVersion() that the tree is built on.
  uint64_t m_published_revision = 0;
  uint64_t m_logged_revision = 0;
  int64_t m_in_force_ms = 0;  // Unix time of publishing that revision.
  size_t m_logged_warnings = 0;
  TimePoint m_next_delay_log;
  TimePoint m_tick_due;  // When the timer of the next tick expires.
  std::chrono::milliseconds m_max_tick_delay{0};  // Since the last LogDelays().
  TimePoint m_next_move_update;
  TimePoint m_next_ack_update;
};

template <typename T>
std::optional<T> ControlLoop::Run(std::function<T(ControlLoop&)> function,
                                  std::chrono::milliseconds timeout) {
  auto promise = std::make_shared<std::promise<T>>();
  auto future = promise->get_future();
  const bool posted =
      Post([promise, function = std::move(function)](ControlLoop& loop) {
        promise->set_value(function(loop));
      });
  if (!posted || future.wait_for(timeout) != std::future_status::ready) {
    return std::nullopt;
  }
  return future.get();
}

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_CONTROL_LOOP_H_
