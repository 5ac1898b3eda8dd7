#include "kumquatmoor/node/sync_worker.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>
#include <utility>

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPollInterval{200};
constexpr milliseconds kSeedCheckInterval{2'000};
// A synchronisation that takes longer is backed up by one with another peer.
constexpr milliseconds kStallTime{300};
constexpr milliseconds kBackupPollInterval{50};
// Peers that may stall at once without keeping the node from others.
constexpr int kBackupThreads = 2;
// Time for which a peer that failed is not asked again.
constexpr milliseconds kFailurePause{2'000};
// Peers that are asked in the place of one that failed.
constexpr int kMaxOtherPeers = 3;
// A node that joins does not know how large the configuration is. This is the
// size of one with 4,000 routes.
constexpr uint64_t kExpectedBytesOfJoin = 512'000;

// The peers that reply to a small request, all of which are asked at once. A
// peer that does not would delay a join by the timeout of a synchronisation.
std::vector<ControlPeer> RespondingPeers(
    ControlClient* client, const std::vector<ControlPeer>& peers) {
  const auto reports = client->ReportZones(peers);
  std::vector<ControlPeer> responding;
  for (size_t i = 0; i < peers.size(); ++i) {
    if (reports[i].reached()) responding.push_back(peers[i]);
  }
  return responding;
}

}  // namespace

SyncWorker::SyncWorker(SyncWorkerOptions options, ControlLoop* loop,
                       ControlClient* client, BoundedRing<SyncPeer>* syncs)
    : m_options(std::move(options)),
      m_loop(loop),
      m_client(client),
      m_syncs(syncs),
      m_rng(m_options.seed) {}

SyncWorker::~SyncWorker() { Stop(); }

void SyncWorker::Start() {
  m_thread = std::thread([this] { Run(); });
  for (int i = 0; i < kBackupThreads; ++i) {
    m_backup_threads.emplace_back([this] { RunBackup(); });
  }
}

void SyncWorker::Stop() {
  m_stopping = true;
  m_call_started.notify_all();
  if (m_thread.joinable()) m_thread.join();
  for (auto& thread : m_backup_threads) {
    if (thread.joinable()) thread.join();
  }
}

void SyncWorker::SleepWithJitter(milliseconds max_duration) {
  std::uniform_int_distribution<int64_t> jitter(0, max_duration.count());
  const auto until =
      std::chrono::steady_clock::now() + milliseconds(jitter(m_rng));
  while (!m_stopping && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(std::min(kPollInterval, max_duration));
  }
}

void SyncWorker::Run() {
  milliseconds backoff = m_options.initial_backoff;
  while (!m_stopping && !TryJoin()) {
    spdlog::info(
        "join: event=waiting reason=\"no member answered and the platform was "
        "not read yet\"");
    SleepWithJitter(backoff);
    backoff = std::min(backoff * 2, m_options.max_backoff);
  }
  auto next_seed_check = std::chrono::steady_clock::now();
  while (!m_stopping) {
    const auto peer = m_syncs->PopFor(kPollInterval);
    if (peer) SyncWithScheduled(*peer);
    if (std::chrono::steady_clock::now() < next_seed_check) continue;
    next_seed_check = std::chrono::steady_clock::now() + kSeedCheckInterval;
    SyncWithUnknownSeed();
  }
}

SyncWorker::Call::Call(SyncWorker* worker, const std::string& address)
    : m_worker(worker) {
  const std::lock_guard lock(m_worker->m_mutex);
  m_position = m_worker->m_calls.insert(
      m_worker->m_calls.end(),
      {.address = address, .since = std::chrono::steady_clock::now()});
  m_worker->m_starts_backup = false;
  m_worker->m_call_started.notify_all();
}

SyncWorker::Call::~Call() {
  const std::lock_guard lock(m_worker->m_mutex);
  m_worker->m_calls.erase(m_position);
}

bool SyncWorker::AwaitStall() {
  std::unique_lock lock(m_mutex);
  if (m_calls.empty() || m_starts_backup) {
    m_call_started.wait_for(lock, kPollInterval);
    return false;
  }
  const auto stalls_at = m_calls.back().since + kStallTime;
  if (std::chrono::steady_clock::now() >= stalls_at) {
    m_starts_backup = true;
    return true;
  }
  m_call_started.wait_until(lock, stalls_at);
  return false;
}

void SyncWorker::RunBackup() {
  while (!m_stopping) {
    if (!AwaitStall()) continue;
    std::optional<SyncPeer> peer;
    if (IsBehind()) {
      peer = m_syncs->TryPop();
      if (!peer) peer = PickPeerAhead();
    }
    if (peer) SyncWithScheduled(*peer);
    EndBackup();
    if (!peer) std::this_thread::sleep_for(kBackupPollInterval);
  }
}

void SyncWorker::EndBackup() {
  const std::lock_guard lock(m_mutex);
  m_starts_backup = false;
}

// A peer that was scheduled because it held a newer batch is not asked if that
// batch has arrived meanwhile.
void SyncWorker::SyncWithScheduled(SyncPeer peer) {
  const bool wants_batch = peer.expected_bytes > 0;
  for (int others = 0; others <= kMaxOtherPeers && !m_stopping; ++others) {
    if (wants_batch && !IsBehind()) return;
    const bool completed =
        !IsPaused(peer.address) && SyncWith(peer) == SyncOutcome::kCompleted;
    // The reply may have been a delta from a batch that was replaced meanwhile.
    if (completed && !(wants_batch && IsBehind())) return;
    auto other = PickPeerAhead();
    if (!other) return;
    peer = std::move(*other);
  }
}

SyncWorker::SyncOutcome SyncWorker::SyncWith(const SyncPeer& peer) {
  return SyncWith({.address = peer.address,
                   .zone = peer.zone,
                   .expected_bytes = peer.expected_bytes},
                  false);
}

std::optional<SyncPeer> SyncWorker::PickPeerAhead() {
  auto peers = m_loop->Run<std::vector<SyncPeer>>(
      [](ControlLoop& loop) { return loop.GetReplica().PeersAhead(); });
  if (!peers) return std::nullopt;
  for (auto& peer : *peers) {
    if (!IsPaused(peer.address) && !IsInCall(peer.address)) return peer;
  }
  return std::nullopt;
}

bool SyncWorker::IsBehind() {
  return m_loop
      ->Run<bool>([](ControlLoop& loop) {
        return loop.GetReplica().IsBehindFor(milliseconds(0), Clock::now());
      })
      .value_or(true);
}

bool SyncWorker::IsInCall(const std::string& address) {
  const std::lock_guard lock(m_mutex);
  return std::any_of(m_calls.begin(), m_calls.end(),
                     [&](const auto& call) { return call.address == address; });
}

bool SyncWorker::IsPaused(const std::string& address) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_paused.find(address);
  return found != m_paused.end() &&
         std::chrono::steady_clock::now() < found->second;
}

void SyncWorker::PausePeer(const std::string& address, milliseconds time) {
  const auto now = std::chrono::steady_clock::now();
  const std::lock_guard lock(m_mutex);
  std::erase_if(m_paused, [&](const auto& item) { return item.second <= now; });
  m_paused[address] = now + time;
}

// Synchronises with a seed that is not among the live members. Nodes that start
// at the same moment may find each other's addresses not yet bound and form
// several meshes. A seed that is not a live member indicates this, and the
// synchronisation merges the meshes.
void SyncWorker::SyncWithUnknownSeed() {
  std::vector<ControlPeer> seeds = SeedPeers();
  const auto live = m_loop->Run<std::set<std::string>>([](ControlLoop& loop) {
    std::set<std::string> addresses;
    for (const auto* member : loop.GetReplica().Members().Alive()) {
      addresses.insert(member->control_address());
    }
    return addresses;
  });
  if (!live) return;
  std::erase_if(seeds, [&](const ControlPeer& seed) {
    return live->count(seed.address) > 0;
  });
  if (seeds.empty()) return;
  SyncWith(seeds[m_rng() % seeds.size()], false);
}

bool SyncWorker::TryJoin() {
  size_t answered = SyncWithPeers(SeedPeers());
  answered += SyncWithPeers(OtherZonePeers());
  const bool platform_read = IsStoreLoaded();
  if (answered == 0 && !platform_read) return false;
  spdlog::info("join: event=joined members_asked={} platform_read={}", answered,
               platform_read);
  return m_loop
      ->Run<bool>([](ControlLoop& loop) {
        loop.SetReady();
        return true;
      })
      .value_or(false);
}

size_t SyncWorker::SyncWithPeers(std::vector<ControlPeer> peers) {
  auto responding = RespondingPeers(m_client, peers);
  // A peer may only be slow. Without the platform there is no other source.
  if (!responding.empty() || IsStoreLoaded()) peers = std::move(responding);
  std::shuffle(peers.begin(), peers.end(), m_rng);
  size_t answered = 0;
  for (const auto& peer : peers) {
    if (m_stopping || answered >= m_options.peers_to_ask) break;
    if (SyncWith(peer, answered == 0) == SyncOutcome::kCompleted) ++answered;
  }
  return answered;
}

std::vector<ControlPeer> SyncWorker::SeedPeers() {
  std::vector<ControlPeer> peers;
  for (const auto& address : m_options.seeds) {
    if (address != m_options.own_address) {
      peers.push_back({.address = address, .zone = ""});
    }
  }
  return peers;
}

bool SyncWorker::IsStoreLoaded() {
  return m_loop
      ->Run<bool>([](ControlLoop& loop) { return loop.IsStoreLoaded(); })
      .value_or(false);
}

bool SyncWorker::NeedsWholeBatch() {
  return m_loop
      ->Run<bool>(
          [](ControlLoop& loop) { return loop.GetReplica().NeedsWholeBatch(); })
      .value_or(false);
}

// Returns one live member of each other zone, so that the node gets state from
// more than one part of the mesh.
std::vector<ControlPeer> SyncWorker::OtherZonePeers() {
  auto peers = m_loop->Run<std::vector<ControlPeer>>([](ControlLoop& loop) {
    std::set<std::string> zones = {loop.GetReplica().Self().zone()};
    std::vector<ControlPeer> members;
    for (const auto* member : loop.GetReplica().Members().Alive()) {
      if (!zones.insert(member->zone()).second) continue;
      members.push_back(
          {.address = member->control_address(), .zone = member->zone()});
    }
    return members;
  });
  return peers.value_or(std::vector<ControlPeer>());
}

SyncWorker::SyncOutcome SyncWorker::SyncWith(const ControlPeer& peer,
                                             bool joining) {
  const auto request = m_loop->Run<SyncRequest>([joining](ControlLoop& loop) {
    return loop.GetReplica().MakeSyncRequest(joining);
  });
  if (!request) return SyncOutcome::kFailed;
  ControlPeer sized = peer;
  if (joining) sized.expected_bytes = kExpectedBytesOfJoin;
  const auto started = std::chrono::steady_clock::now();
  auto outcome = Attempt([&] {
    const Call call(this, peer.address);
    return m_client->Sync(sized, *request);
  });
  const auto elapsed = std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - started);
  if (auto* failure = std::get_if<Failure>(&outcome)) {
    spdlog::info("sync: event=failed peer={} elapsed_ms={} reason=\"{}\"",
                 peer.address, elapsed.count(), failure->message);
    PausePeer(peer.address, kFailurePause);
    return SyncOutcome::kFailed;
  }
  SyncReply& reply = std::get<SyncReply>(outcome);
  if (reply.retry_after_ms() > 0) {
    spdlog::info("sync: event=peer_busy peer={}", peer.address);
    PausePeer(peer.address, milliseconds(reply.retry_after_ms()));
    return SyncOutcome::kBusy;
  }
  spdlog::info(
      "sync: event=completed peer={} elapsed_ms={} newer_revision={} form={} "
      "bytes={}",
      peer.address, elapsed.count(),
      std::max(reply.batch().revision(), reply.delta().revision()),
      reply.has_delta()   ? "delta"
      : reply.has_batch() ? "batch"
                          : "none",
      reply.ByteSizeLong());
  using SyncOffer = std::optional<SyncRequest>;
  const auto offer =
      m_loop->Run<SyncOffer>([reply = std::move(reply)](ControlLoop& loop) {
        return loop.GetReplica().HandleSyncReply(reply, Clock::now());
      });
  if (!offer) return SyncOutcome::kFailed;
  // The peer's delta did not give its batch, so its reply to a second request
  // has the whole batch.
  if (NeedsWholeBatch() && !request->accepts_delta()) {
    return SyncOutcome::kFailed;
  }
  if (NeedsWholeBatch()) return SyncWith(peer, joining);
  if (*offer && !joining) {
    const ControlPeer small{.address = peer.address, .zone = peer.zone};
    Attempt([&] {
      const Call call(this, peer.address);
      return m_client->Sync(small, **offer);
    });
  }
  return SyncOutcome::kCompleted;
}

}  // namespace kumquatmoor
