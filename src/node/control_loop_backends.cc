// The part of ControlLoop that keeps the local backend servers: announcements,
// departures and crashes, and this node's part in the member directory.
//
// A backend server that leaves is remembered in this node's member record,
// which other members keep, and on the platform. After a start, this node
// publishes no backend server before it has learned what an earlier incarnation
// of it had been told: an announcement from before a departure may arrive late.
// It reads the platform for that, whether it is a gateway or not. While the
// platform is away, members that know the departures are the source. If there
// is none, it waits until no departure of before its start matters any more.

#include <spdlog/fmt/ranges.h>
#include <spdlog/spdlog.h>

#include <set>
#include <utility>

#include "kumquatmoor/node/control_loop.h"
#include "kumquatmoor/node/gateway_selection.h"
#include "node/unix_time.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

// What other members pass on is used after this time without the platform,
// which may have a departure that did not reach them.
constexpr milliseconds kPlatformWait{1'000};
// Interval at which other members are asked for what they know.
constexpr milliseconds kDepartureSyncInterval{500};

}  // namespace

bool ControlLoop::Announce(const Announcement& announcement) {
  const TimePoint now = Clock::now();
  const auto outcome =
      m_registry.Announce(announcement, now, ProcessAge(announcement));
  if (outcome == AnnounceOutcome::kStale) {
    spdlog::info(
        "announce: event=stale service={} instance={} started_ms={} "
        "sequence={}",
        announcement.service, announcement.instance, announcement.started_ms,
        announcement.sequence);
    return false;
  }
  if (outcome == AnnounceOutcome::kRenewed) {
    UpdateCold(now);
    return true;
  }
  spdlog::info(
      "announce: event=changed service={} version={} instance={} address={} "
      "slots={} draining={} sequence={}",
      announcement.service, announcement.version, announcement.instance,
      announcement.address, announcement.slots, announcement.draining,
      announcement.sequence);
  m_move_controller.SetBackendSlots(announcement.service, announcement.version,
                                    announcement.slots);
  if (announcement.draining && !announcement.instance.empty()) {
    NoteLeaving(announcement.instance, announcement.started_ms);
  }
  m_registry.UpdateCold(now);
  PublishBackends();
  // Sends the change at once instead of at the next tick.
  if (m_ready) Send(m_replica.Tick(Clock::now()));
  return true;
}

// Other members store the leaving instance in this node's member record, so
// that this node learns of it again after its own restart.
void ControlLoop::NoteLeaving(const std::string& instance, int64_t started_ms) {
  LeavingInstance leaving;
  leaving.set_instance(instance);
  leaving.set_started_ms(started_ms);
  const bool changed = m_registry.NoteLeaving(instance, started_ms);
  m_replica.AddLeavingInstance(leaving, Clock::now());
  if (changed) PublishBackends();
}

// Applies the leaving instances that an earlier incarnation of this node had
// acknowledged, as other members report them in this node's member record.
void ControlLoop::RestoreLeavingInstances() {
  const MemberRecord self = m_replica.Self();
  bool changed = false;
  for (const auto& leaving : self.leaving()) {
    changed =
        m_registry.NoteLeaving(leaving.instance(), leaving.started_ms()) ||
        changed;
  }
  if (!changed) return;
  spdlog::info("announce: event=leaving_before_restart");
  PublishBackends();
}

// A deregistration without a start time is that of the process on record. If
// there is none, as after a restart of this node, it concerns every process
// that has started by now: both have the clock of this host.
int64_t ControlLoop::LeavingSince(const Deregistration& deregistration) const {
  if (deregistration.started_ms != 0) return deregistration.started_ms;
  const int64_t known = m_registry.StartTimeMs(deregistration.instance);
  return known != 0 ? known : UnixMs();
}

LeavingInstance ControlLoop::Deregister(const Deregistration& deregistration) {
  Deregistration dated = deregistration;
  dated.started_ms = LeavingSince(deregistration);
  const bool changed = m_registry.Deregister(dated);
  spdlog::info(
      "announce: event={} instance={} sequence={} started_ms={} "
      "names_start={}",
      changed ? "withdrawn" : "withdrawal_noted", dated.instance,
      dated.sequence, dated.started_ms, deregistration.started_ms != 0);
  NoteLeaving(dated.instance, dated.started_ms);
  if (changed) PublishBackends();
  // Sends the change at once instead of at the next tick.
  if (m_ready) Send(m_replica.Tick(Clock::now()));
  LeavingInstance leaving;
  leaving.set_instance(dated.instance);
  leaving.set_started_ms(dated.started_ms);
  return leaving;
}

bool ControlLoop::IsOfEarlierProcess(const Announcement& announcement) const {
  return announcement.started_ms <
         m_registry.StartTimeMs(announcement.instance);
}

void ControlLoop::OnBackendLeaving(const LocalBackend& backend) {
  for (const auto& known : m_registry.Backends()) {
    if (known.instance != backend.instance || known.draining ||
        known.announced != backend.announced) {
      continue;
    }
    Deregister({.instance = known.instance,
                .started_ms = m_registry.StartTimeMs(known.instance)});
  }
}

void ControlLoop::OnBackendCrash(const BackendCrash& crash) {
  spdlog::warn(
      "crash: event=backend_crashed service={} version={} instance={} "
      "requests={} keys=\"{}\"",
      crash.service, crash.version, crash.instance, crash.keys.size(),
      fmt::join(crash.keys, " "));
  // Backend servers need not have instance ids, and may start again with the
  // one that they had.
  BackendCrash identified = crash;
  identified.instance =
      fmt::format("{}/{}/{}", m_options.replica.id,
                  m_options.replica.started_ms, ++m_backend_crashes);
  m_replica.AddCrash(identified, UnixMs());
  // Sends the change at once instead of at the next tick.
  if (m_ready) Send(m_replica.Tick(Clock::now()));
}

void ControlLoop::OnSuspectResponse(const std::string& key,
                                    const std::string& service,
                                    const std::string& version) {
  m_replica.AddResponse(key, service, version);
}

bool ControlLoop::ClearCrashes(const std::string& key) {
  if (!m_replica.ClearCrashes(key)) return false;
  spdlog::info("crash: event=cleared key={}", key);
  return true;
}

void ControlLoop::PublishCrashes() {
  const CrashSuspects& crashes = m_replica.Crashes();
  if (crashes.Hash() == m_published_crashes) return;
  m_published_crashes = crashes.Hash();
  m_proxy->SetCrashes(std::make_shared<const CrashSuspects>(crashes));
  std::set<std::string> blocked;
  for (const auto& record : crashes.All()) {
    if (!IsBlockedAnywhere(record)) continue;
    blocked.insert(record.key());
    if (m_blocked.count(record.key()) > 0) continue;
    for (const auto& version : record.versions()) {
      spdlog::warn(
          "crash: event=blocked key={} service={} version={} crashes={}",
          record.key(), version.service(), version.version(),
          version.instances_size());
    }
  }
  for (const auto& key : m_blocked) {
    if (blocked.count(key) > 0) continue;
    spdlog::info("crash: event=unblocked key={}", key);
  }
  m_blocked = std::move(blocked);
}

void ControlLoop::SetReady() {
  m_ready = true;
  RestoreLeavingInstances();
  // An evacuation has to be known before the backend servers are.
  PublishRoutes();
  AwaitDepartures(Clock::now());
  PublishBackends();
}

void ControlLoop::SetStoreLoaded() {
  m_store_loaded = true;
  AwaitDepartures(Clock::now());
}

void ControlLoop::AwaitDepartures(TimePoint now) {
  if (m_knows_departures) return;
  const auto waited = now - m_started_at;
  const bool are_received =
      m_replica.HasReceivedDepartures() && waited >= kPlatformWait;
  const bool are_over = waited >= kDepartureRetention;
  if (!m_store_loaded && !are_received && !are_over) {
    if (!m_ready || now < m_next_departure_sync) return;
    m_next_departure_sync = now + kDepartureSyncInterval;
    m_replica.ScheduleAnySync();
    return;
  }
  spdlog::info(
      "departures: event=known source={} elapsed_ms={}",
      m_store_loaded ? "platform" : (are_received ? "members" : "none"),
      std::chrono::duration_cast<milliseconds>(waited).count());
  m_knows_departures = true;
  m_replica.SetKnowsDepartures();
  RestoreLeavingInstances();
  PublishBackends();
}

void ControlLoop::ApplyDepartures(const std::vector<DepartureEntry>& entries) {
  m_departures = entries;
  m_replica.SetDepartures(entries, Clock::now());
  RestoreLeavingInstances();
}

// Only the zone's first gateway removes entries of other members, and only
// while it has joined and is not isolated.
DirectoryPlan ControlLoop::PlanOwnDirectory() const {
  const auto first =
      SelectGateways(m_replica.Members(), m_options.replica.zone, 1);
  const bool removes = m_ready && !IsIsolated() && !first.empty() &&
                       first.front() == m_options.replica.id;
  DirectoryPlan plan = PlanDirectory(m_directory, m_replica.Members(),
                                     m_replica.Self(), removes);
  if (!removes) return plan;
  const int64_t oldest = UnixMs() - milliseconds(kDepartureRetention).count();
  for (const auto& entry : m_departures) {
    if (entry.zone == m_options.replica.zone && entry.written_ms < oldest) {
      plan.remove_departures.push_back(DepartureKey(entry.member_id));
    }
  }
  return plan;
}

void ControlLoop::PublishBackends() {
  if (!m_ready || !m_knows_departures) return;
  m_proxy->SetBackends(m_registry.Backends());
  std::vector<Endpoint> endpoints = m_registry.Endpoints();
  for (auto& endpoint : endpoints) {
    if (m_draining) endpoint.set_draining(true);
  }
  m_replica.SetEndpoints(endpoints, Clock::now());
}

}  // namespace kumquatmoor
