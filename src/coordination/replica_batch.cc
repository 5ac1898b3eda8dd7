// Batches of Replica. A new batch arrives as a delta in a datagram, in the
// reply to a synchronisation, or is offered by a gateway. The replica checks
// it, adds moves that the store has lost, replaces its own by it and pushes the
// delta between the two.

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "kumquatmoor/coordination/replica.h"
#include "kumquatmoor/state/batch.h"
#include "kumquatmoor/state/carried_moves.h"

namespace kumquatmoor {

void Replica::HandleDelta(const BatchDelta& delta, const Datagram& datagram) {
  if (!IsNewer(StampOf(delta), StampOf(*m_batch))) return;
  auto batch = ApplyDelta(*m_batch, delta);
  if (!batch || !CheckBatch(*batch).empty()) {
    if (batch) NoteRefusedBatch(delta.digest());
    ScheduleSync(datagram.from());
    return;
  }
  ApplyBatch(std::move(*batch), BatchPath::kPushedDelta);
}

// A delta from another batch than the current one is not damaged: a newer batch
// has come into force since the request was sent.
void Replica::HandleSyncDelta(const BatchDelta& delta) {
  if (!IsNewer(StampOf(delta), StampOf(*m_batch)) ||
      delta.base_revision() != m_batch->revision()) {
    return;
  }
  auto batch = ApplyDelta(*m_batch, delta);
  m_needs_whole_batch = !batch || !CheckBatch(*batch).empty();
  if (m_needs_whole_batch) return;
  ApplyBatch(std::move(*batch), BatchPath::kSyncDelta);
}

OfferOutcome Replica::Offer(const Batch& batch, BatchPath path) {
  const BatchStamp offered = StampOf(batch);
  const BatchStamp current = StampOf(*m_batch);
  if (offered == current) {
    if (BatchDigest(batch) == m_batch_digest) return OfferOutcome::kOld;
    AddWarning(fmt::format("was offered another batch {}",
                           FormatRevision(batch.revision())));
    return OfferOutcome::kConflict;
  }
  if (!IsNewer(offered, current)) {
    if (IsHeldBack(offered, current)) {
      NoteHeldBack(offered);
      NoteRefusedBatch(BatchDigest(batch));
    }
    return OfferOutcome::kOld;
  }
  const auto problems = CheckBatch(batch);
  if (!problems.empty()) {
    AddWarning(fmt::format("refused batch {}: {}",
                           FormatRevision(batch.revision()), problems.front()));
    NoteRefusedBatch(BatchDigest(batch));
    return OfferOutcome::kInvalid;
  }
  ApplyBatch(batch, path);
  return OfferOutcome::kApplied;
}

void Replica::NoteHeldBack(const BatchStamp& stamp) {
  if (stamp == m_held_back) return;
  m_held_back = stamp;
  ++m_held_back_count;
  spdlog::warn(
      "batch: event=held revision={} config_version={} in_force={} "
      "in_force_config_version={}",
      FormatRevision(stamp.revision), stamp.config_version,
      FormatRevision(m_batch->revision()), m_batch->config_version());
}

void Replica::ApplyBatch(Batch batch, BatchPath path) {
  batch = CarryMoves(*m_batch, m_replaced_moves, std::move(batch));
  NoteReplacedMoves(*m_batch, batch, &m_replaced_moves);
  Rumour rumour;
  *rumour.mutable_delta() = MakeDelta(*m_batch, batch);
  for (const auto& service : rumour.delta().changed()) {
    m_changed_services.insert(service.service());
  }
  m_changed_services.insert(rumour.delta().removed().begin(),
                            rumour.delta().removed().end());
  const bool is_replacement = batch.revision() == m_batch->revision();
  m_batch = std::make_shared<const Batch>(std::move(batch));
  m_decision_digest = DecisionDigest(*m_batch);
  m_arrival = {.path = path, .behind_since = m_behind_since};
  ForgetPeersReached();
  m_needs_whole_batch = false;
  m_batch_digest = rumour.delta().digest();
  m_batch_bytes = m_batch->ByteSizeLong();
  if (is_replacement) {
    m_deltas = DeltaHistory();
  } else {
    m_conflicts.clear();
  }
  if (rumour.delta().base_revision() > 0 && !is_replacement) {
    m_deltas.Add(rumour.delta(), m_batch_bytes);
  }
  m_marks.Prune(*m_batch);
  ++m_change_count;
  QueueUpdate(std::move(rumour), kBatchUpdateKey);
}

void Replica::RepeatBatchPush(TimePoint now) {
  if (!m_repeat_batch_at || now < *m_repeat_batch_at) return;
  m_repeat_batch_at.reset();
  const auto pushed = std::find_if(
      m_recent.begin(), m_recent.end(),
      [](const Update& update) { return update.key == kBatchUpdateKey; });
  if (pushed == m_recent.end()) return;
  m_outbox.push_back(std::move(*pushed));
  m_outbox.back().is_repeat = true;
  m_recent.erase(pushed);
}

}  // namespace kumquatmoor
