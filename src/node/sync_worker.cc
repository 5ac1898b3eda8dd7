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
// A node that joins does not know how large the configuration is. This is the
// size of one with 4,000 routes.
constexpr uint64_t kExpectedBytesOfJoin = 512'000;

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
}

void SyncWorker::Stop() {
  m_stopping = true;
  if (m_thread.joinable()) m_thread.join();
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
    if (peer) {
      SyncWith({.address = peer->address,
                .zone = peer->zone,
                .expected_bytes = peer->expected_bytes},
               false);
    }
    if (std::chrono::steady_clock::now() < next_seed_check) continue;
    next_seed_check = std::chrono::steady_clock::now() + kSeedCheckInterval;
    SyncWithUnknownSeed();
  }
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
  std::shuffle(peers.begin(), peers.end(), m_rng);
  size_t answered = 0;
  for (const auto& peer : peers) {
    if (m_stopping || answered >= m_options.peers_to_ask) break;
    if (SyncWith(peer, answered == 0)) ++answered;
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

bool SyncWorker::SyncWith(const ControlPeer& peer, bool joining) {
  const auto request = m_loop->Run<SyncRequest>([joining](ControlLoop& loop) {
    return loop.GetReplica().MakeSyncRequest(joining);
  });
  if (!request) return false;
  ControlPeer sized = peer;
  if (joining) sized.expected_bytes = kExpectedBytesOfJoin;
  const auto started = std::chrono::steady_clock::now();
  auto outcome = Attempt([&] { return m_client->Sync(sized, *request); });
  const auto elapsed = std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - started);
  if (auto* failure = std::get_if<Failure>(&outcome)) {
    spdlog::info("sync: event=failed peer={} elapsed_ms={} reason=\"{}\"",
                 peer.address, elapsed.count(), failure->message);
    return false;
  }
  SyncReply& reply = std::get<SyncReply>(outcome);
  if (reply.retry_after_ms() > 0) {
    spdlog::info("sync: event=peer_busy peer={}", peer.address);
    SleepWithJitter(milliseconds(reply.retry_after_ms()));
    return false;
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
  if (!offer) return false;
  // The peer's delta did not give its batch, so its reply to a second request
  // has the whole batch.
  if (NeedsWholeBatch() && !request->accepts_delta()) return false;
  if (NeedsWholeBatch()) return SyncWith(peer, joining);
  if (*offer && !joining) {
    Attempt([&] { return m_client->Sync(peer, **offer); });
  }
  return true;
}

}  // namespace kumquatmoor
