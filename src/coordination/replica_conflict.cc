// Two contents under one revision. Nodes that read the platform at different
// moments, or in different versions of this program, may build different
// batches for one revision. Order by revision cannot tell which is right, but
// the platform can: a node whose peer shows other contents asks for a read of
// the complete state and takes what that finds.
//
// Each node reads at most once for each of the other contents, so that nodes
// which disagree for good do not load the platform. The read begins after a
// random time. By then the node that is wrong has often recovered, and the
// others need not read. A node whose read fails waits longer, as the platform
// may be refusing all of them.

#include <spdlog/spdlog.h>

#include <algorithm>

#include "kumquatmoor/coordination/replica.h"
#include "kumquatmoor/state/batch.h"

namespace kumquatmoor {
namespace {

constexpr size_t kMaxConflicts = 8;
constexpr uint64_t kMaxReadDelayMs = 500;
// A read that failed is postponed by this, doubled up to twice, and by a random
// time up to this.
constexpr std::chrono::milliseconds kMinPostponement{500};
constexpr int kMaxDoublings = 2;

}  // namespace

void Replica::NoteConflict(const std::string& peer, uint64_t digest,
                           TimePoint now) {
  const MemberRecord* member = m_members.Find(peer);
  if (member == nullptr || member->status() != ALIVE) return;
  const bool is_known = std::any_of(
      m_conflicts.begin(), m_conflicts.end(),
      [&](const Conflict& known) { return known.digest == digest; });
  if (is_known || m_conflicts.size() >= kMaxConflicts) return;
  spdlog::warn("batch: event=conflict revision={} peer={}",
               FormatRevision(m_batch->revision()), peer);
  const std::chrono::milliseconds delay(m_rng() % kMaxReadDelayMs);
  m_conflicts.push_back(
      {.digest = digest, .peer = peer, .seen = now, .read_at = now + delay});
}

void Replica::ForgetConflict(const std::string& peer) {
  std::erase_if(m_conflicts, [&](const Conflict& conflict) {
    return conflict.peer == peer && !conflict.is_resolved;
  });
}

bool Replica::NeedsCompleteRead(TimePoint now) const {
  return std::any_of(m_conflicts.begin(), m_conflicts.end(),
                     [&](const Conflict& conflict) {
                       return !conflict.is_resolved && now >= conflict.read_at;
                     });
}

void Replica::PostponeCompleteRead(TimePoint now) {
  for (auto& conflict : m_conflicts) {
    if (conflict.is_resolved || now < conflict.read_at) continue;
    const int doublings = std::min(conflict.failures++, kMaxDoublings);
    const std::chrono::milliseconds jitter(
        m_rng() % static_cast<uint64_t>(kMinPostponement.count()));
    conflict.read_at = now + kMinPostponement * (1 << doublings) + jitter;
  }
}

bool Replica::ResolveConflicts(TimePoint began) {
  bool any = false;
  for (auto& conflict : m_conflicts) {
    if (conflict.is_resolved || conflict.seen > began) continue;
    conflict.is_resolved = true;
    any = true;
  }
  return any;
}

OfferOutcome Replica::OfferComplete(const Batch& batch, TimePoint began) {
  const bool had_conflict = ResolveConflicts(began);
  const bool is_replacement = had_conflict &&
                              batch.revision() == m_batch->revision() &&
                              BatchDigest(batch) != m_batch_digest;
  if (!is_replacement || !CheckBatch(batch).empty()) return Offer(batch);
  spdlog::warn("batch: event=replaced revision={}",
               FormatRevision(batch.revision()));
  // The contents that are given up are no reason for another read.
  if (m_conflicts.size() < kMaxConflicts) {
    m_conflicts.push_back(
        {.digest = m_batch_digest, .seen = began, .is_resolved = true});
  }
  ApplyBatch(batch, BatchPath::kOffered);
  return OfferOutcome::kApplied;
}

}  // namespace kumquatmoor
