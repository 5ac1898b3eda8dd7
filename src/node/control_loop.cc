#include "kumquatmoor/node/control_loop.h"

#include <spdlog/fmt/ranges.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <utility>

#include "kumquatmoor/node/gateway_selection.h"
#include "kumquatmoor/state/batch.h"
#include "kumquatmoor/state/observed_clock.h"
#include "kumquatmoor/state/routes.h"
#include "kumquatmoor/state/store_revision.h"
#include "node/boot_time.h"
#include "node/health_probe.h"
#include "node/unix_time.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

constexpr size_t kCommandRingCapacity = 1'024;
constexpr milliseconds kTickInterval{50};
constexpr milliseconds kMoveUpdateInterval{250};
constexpr milliseconds kAckUpdateInterval{500};
// For which the proxy may decide without a sign of the control thread.
constexpr milliseconds kDecisionTime{1'000};
constexpr milliseconds kDecisionExtension{50};
// Longest wait for a sign of another member after a pause. An isolated node
// serves on.
constexpr milliseconds kMaxWaitAfterPause{1'000};
// After a longer pause, the changes since are larger than the complete state,
// or gone.
constexpr milliseconds kLongPause{3'000};
// Fewer bytes of datagrams do not delay anything noticeably.
constexpr uint64_t kMinChargedBytes = 4'096;

}  // namespace

ControlLoop::ControlLoop(boost::asio::io_context& context,
                         ControlLoopOptions options, const FaultPlan* faults,
                         Proxy* proxy, BoundedRing<Outcome>* outcomes,
                         BoundedRing<SyncPeer>* syncs)
    : m_context(context),
      m_options(std::move(options)),
      m_proxy(proxy),
      m_outcomes(outcomes),
      m_syncs(syncs),
      m_commands(kCommandRingCapacity),
      m_socket(context, faults),
      m_timer(context),
      m_replica(m_options.replica, Clock::now()),
      m_rng(m_options.replica.seed),
      m_ack_tree(AckTreeOptions{.id = m_options.replica.id}),
      m_move_controller(MoveControllerOptions{.id = m_options.replica.id,
                                              .zone = m_options.replica.zone}),
      m_quotas(m_options.replica.id, BootTimePoint()) {}

boost::system::error_code ControlLoop::Start() {
  m_started_at = Clock::now();
  const auto error =
      m_socket.Open(m_options.replica.control_address,
                    [this](std::string_view bytes) { OnBytes(bytes); });
  if (!error) {
    StartHealthProbe();
    Tick();
  }
  return error;
}

bool ControlLoop::Post(Command command) {
  if (!m_commands.TryPush(std::move(command))) return false;
  boost::asio::post(m_context, [this] { RunPostedCommands(); });
  return true;
}

void ControlLoop::PostUnbounded(Command command) {
  boost::asio::post(m_context, [this, command = std::move(command)] {
    NotePause(Clock::now());
    command(*this);
    PublishCommandResults();
  });
}

void ControlLoop::RunPostedCommands() {
  while (auto command = m_commands.TryPop()) {
    NotePause(Clock::now());
    (*command)(*this);
  }
  PublishCommandResults();
}

void ControlLoop::PublishCommandResults() {
  PublishNewBatch();
  PublishConfirmation();
  PublishBehindSince();
  // The process may have been stopped while a command ran.
  const TimePoint now = Clock::now();
  NotePause(now);
  ExtendDecisions(now);
  PublishCrashes();
}

void ControlLoop::Tick() {
  const TimePoint now = Clock::now();
  m_confirmation.NoteRunning(BootClock::now());
  NotePause(now);
  m_last_tick = now;
  if (m_tick_due != TimePoint()) {
    m_max_tick_delay =
        std::max(m_max_tick_delay,
                 std::chrono::duration_cast<milliseconds>(now - m_tick_due));
  }
  while (auto outcome = m_outcomes->TryPop())
    m_move_controller.OnOutcome(*outcome);
  if (m_registry.Expire(now)) {
    spdlog::warn(
        "announce: event=expired reason=\"a backend server did not renew its "
        "announcement\"");
    PublishBackends();
  }
  UpdateCold(now);
  CheckRemovedEvacuations(now);
  RestoreLeavingInstances();
  AwaitDepartures(now);
  if (m_ready) Send(m_replica.Tick(now));
  if (now >= m_next_move_update) {
    m_next_move_update = now + kMoveUpdateInterval;
    UpdateMoves(now);
  }
  if (now >= m_next_ack_update) {
    m_next_ack_update = now + kAckUpdateInterval;
    UpdateAckTree(now);
    m_replica.DropExpiredCrashes(UnixMs());
  }
  ClearPlatformFailure(now);
  if (m_socket.BytesSent() - m_charged_bytes >= kMinChargedBytes) {
    ChargeLink(m_socket.BytesSent() - m_charged_bytes);
    m_charged_bytes = m_socket.BytesSent();
  }
  if (auto peer = m_replica.PopSyncPeer()) m_syncs->TryPush(std::move(*peer));
  PublishRoutes();
  UpdateQuotas();
  PublishConfirmation();
  CheckGeneration();
  PublishBehindSince();
  ExtendDecisions(now);
  PublishCrashes();
  LogChanges();
  LogDelays(now);
  m_timer.expires_after(kTickInterval);
  m_tick_due = m_timer.expiry();
  m_timer.async_wait([this](boost::system::error_code error) {
    if (!error) Tick();
  });
}

void ControlLoop::OnBytes(std::string_view bytes) {
  Datagram datagram;
  if (!datagram.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    spdlog::debug("membership: event=damaged_datagram bytes={}", bytes.size());
    return;
  }
  const TimePoint now = Clock::now();
  const BootTime arrived = BootClock::now();
  m_confirmation.NoteRunning(arrived);
  NotePause(now);
  m_last_datagram_at = now;
  if (datagram.kind() == Datagram::QUOTA) return OnQuotaDatagram(datagram, now);
  if (datagram.kind() == Datagram::EVIDENCE) {
    m_move_controller.OnOutcomeCounts(datagram.from(), datagram.incarnation(),
                                      datagram.evidence());
  } else if (datagram.kind() == Datagram::SUBTREE) {
    m_ack_tree.OnReport(datagram.from(), datagram.subtree(), now);
  }
  if (!OnConfirmationProbe(datagram, arrived)) {
    Send(m_replica.OnDatagram(datagram, now));
    ReceiveConfirmation(datagram, arrived);
  }
  PublishNewBatch();
  PublishConfirmation();
  PublishBehindSince();
  ExtendDecisions(now);
  PublishCrashes();
}

Datagram ControlLoop::MakeDatagram(Datagram::Kind kind) const {
  Datagram datagram;
  datagram.set_kind(kind);
  datagram.set_from(m_options.replica.id);
  datagram.set_zone(m_options.replica.zone);
  datagram.set_incarnation(m_options.replica.started_ms);
  return datagram;
}

void ControlLoop::SendTo(const std::string& member_id,
                         const Datagram& datagram) {
  const MemberRecord* member = m_replica.Members().Find(member_id);
  if (member == nullptr) return;
  m_socket.Send(member->control_address(), member->zone(),
                datagram.SerializeAsString());
}

bool ControlLoop::IsIsolated() const {
  return Clock::now() - m_last_datagram_at > m_options.isolation_timeout;
}

bool ControlLoop::NeedsCompleteRead() const {
  return m_unread_since || m_replica.NeedsCompleteRead(Clock::now());
}

// What the socket's buffer holds may be as old as the pause. Only an ACK of a
// probe that was sent after it is a sign of the present.
void ControlLoop::NotePause(TimePoint now) {
  const auto gap = std::chrono::duration_cast<milliseconds>(now - m_last_tick);
  if (m_last_tick == TimePoint() || gap <= ObservedClock::kMaxTickInterval) {
    return;
  }
  spdlog::warn("node: event=resumed gap_ms={}", gap.count());
  m_last_tick = now;
  m_resumed_at = now;
  if (gap >= kLongPause) m_unread_since = now;
  if (m_ready) Send(m_replica.ProbeAnew(now));
}

void ControlLoop::ExtendDecisions(TimePoint now) {
  if (m_resumed_at) {
    const bool has_heard = m_replica.LastAcknowledged() >= *m_resumed_at;
    const bool is_alone = m_replica.Members().Alive().size() <= 1;
    const bool waited = now - *m_resumed_at >= kMaxWaitAfterPause;
    if (!has_heard && !is_alone && !waited) return;
    // What others hold may have been in force for the whole pause.
    if (m_replica.OutdatedSince(now)) return;
    m_resumed_at.reset();
  }
  if (m_decides_until - now > kDecisionTime - kDecisionExtension) return;
  m_decides_until = now + kDecisionTime;
  m_proxy->SetDecidesUntil(m_decides_until);
}

bool ControlLoop::IsGateway() const {
  const bool has_conflict = m_replica.NeedsCompleteRead(Clock::now());
  if (!m_ready || !m_knows_departures || IsIsolated() || has_conflict) {
    return true;
  }
  if (m_replica.IsBehindFor(m_options.max_time_behind, Clock::now())) {
    return true;
  }
  const auto gateways = SelectGateways(
      m_replica.Members(), m_options.replica.zone, m_options.gateways_per_zone);
  return std::find(gateways.begin(), gateways.end(), m_options.replica.id) !=
         gateways.end();
}

void ControlLoop::ApplySourceUpdate(const SourceUpdate& update,
                                    std::optional<TimePoint> complete_since) {
  const TimePoint now = Clock::now();
  if (complete_since && m_unread_since && *complete_since >= *m_unread_since) {
    m_unread_since.reset();
  }
  const auto batch = NoteRead(update, complete_since.has_value());
  const bool has_batch = batch && batch->revision() > 0;
  if (has_batch && complete_since) {
    m_replica.OfferComplete(*batch, *complete_since);
  } else if (has_batch) {
    m_replica.Offer(*batch);
  } else if (complete_since) {
    m_replica.OnEmptyRead(*complete_since);
  }
  for (const auto& mark : update.marks) m_replica.JoinMark(mark);
  if (update.departures) ApplyDepartures(*update.departures);
  m_replica.NoteStoreGeneration(update.generation);
  if (!update.directory) return;
  m_directory = *update.directory;
  for (const auto& entry : m_directory)
    m_replica.AddDirectoryMember(entry.member, now);
}

MeshProgress ControlLoop::Progress() const {
  return {.batch = m_replica.SharedBatch(),
          .marks = m_replica.Marks(),
          .outcomes = OutcomesOfMoves(m_replica)};
}

void ControlLoop::StartDrain() {
  m_draining = true;
  m_accepts_callers = false;
  PublishBackends();
  Send(m_replica.Tick(Clock::now()));
}

void ControlLoop::Leave() { Send(m_replica.Leave(Clock::now())); }

// Publishes a new batch at once. Other changes wait for the next tick, so that
// a burst of them costs one snapshot of the routes.
void ControlLoop::PublishNewBatch() {
  if (m_replica.SharedBatch() == m_published_batch) return;
  PublishRoutes();
  UpdateQuotas();
}

void ControlLoop::PublishBehindSince() {
  const TimePoint now = Clock::now();
  const auto since = m_replica.OutdatedSince(now);
  if (since != m_published_behind_since) {
    m_published_behind_since = since;
    m_proxy->SetBehindSince(since);
  }
  const bool is_too_far_behind = m_proxy->IsTooFarBehind(since, now);
  if (is_too_far_behind != m_is_too_far_behind) {
    spdlog::warn("node: event={} revision={} behind_ms={}",
                 is_too_far_behind ? "refusing" : "serving",
                 FormatRevision(m_replica.CurrentBatch().revision()),
                 m_replica.TimeBehind(now).count());
  }
  m_is_too_far_behind = is_too_far_behind;
  m_accepts_callers =
      m_published_revision > 0 && !m_draining && !is_too_far_behind;
}

// The generation of the batch in force, which PublishRoutes watches, rises
// later if the store's configuration is older and held back.
void ControlLoop::CheckGeneration() {
  const uint64_t generation = m_replica.StoreGeneration();
  if (generation <= m_known_generation) return;
  m_known_generation = generation;
  spdlog::info("node: event=store_generation generation={}", generation);
  if (m_on_generation) m_on_generation();
}

void ControlLoop::PublishRoutes() {
  if (!m_ready) return;
  const TimePoint now = Clock::now();
  auto unreachable = m_replica.UnreachableZones(now);
  const uint64_t change = m_replica.ChangeCount();
  const auto batch = m_replica.SharedBatch();
  if (batch != m_published_batch) NoteBatchInForce(*batch, now);
  const ZoneSet evacuated = m_evacuated.At(now);
  const bool zones_changed =
      unreachable != m_published_unreachable ||
      (m_published != nullptr && evacuated != m_published->evacuated_zones);
  if (m_published != nullptr && change == m_published_change &&
      !zones_changed) {
    return;
  }
  const bool was_evacuated =
      m_published != nullptr &&
      m_published->evacuated_zones.contains(m_options.replica.zone);
  const auto changed = m_replica.PopChangedServices();
  // An update of the routes takes a batch of the same revision for the same.
  const bool is_replaced =
      batch != m_published_batch && batch->revision() == m_published_revision;
  if (m_published == nullptr || zones_changed || is_replaced) {
    m_published = BuildRoutes(m_replica.CurrentBatch(), m_replica.Marks(),
                              m_replica.RoutableMembers(now),
                              m_options.replica.zone, evacuated);
  } else {
    m_published = UpdateRoutes(
        *m_published, m_replica.CurrentBatch(), m_replica.Marks(), changed,
        [&](const std::string& service) {
          return m_replica.RoutableMembersOf(service, unreachable);
        },
        evacuated);
  }
  const uint64_t revision = m_published->revision;
  if (revision != m_published_revision) m_in_force_ms = UnixMs();
  const bool is_returned =
      GenerationOf(revision) > GenerationOf(m_published_revision);
  m_published_revision = revision;
  if (is_returned && m_on_generation) m_on_generation();
  m_published_batch = batch;
  m_published_change = change;
  m_published_unreachable = std::move(unreachable);
  m_proxy->SetRoutes(m_published);
  const bool is_evacuated = evacuated.contains(m_options.replica.zone);
  if (was_evacuated && !is_evacuated) m_registry.NoteAllColdUnknown(now);
  UpdateCold(now);
}

}  // namespace kumquatmoor
