// Each part of MoveProgress is a join semilattice, and Join() takes the larger
// value per key, so it is commutative, associative and idempotent. Of two
// recalls of the same version the earlier decision is kept. Ties are broken by
// the smaller text, so that all nodes converge to the same bytes and the same
// hash.

#include "kumquatmoor/state/marks.h"

#include <xxhash.h>

#include <algorithm>

namespace kumquatmoor {
namespace {

// Total order of recalls: by time, then by deciding node, then by reason.
bool IsEarlier(const Recall& a, const Recall& b) {
  if (a.decided_ms() != b.decided_ms()) return a.decided_ms() < b.decided_ms();
  if (a.decided_by() != b.decided_by()) return a.decided_by() < b.decided_by();
  return a.reason() < b.reason();
}

}  // namespace

uint32_t MoveProgress::StageOf(const std::string& zone) const {
  auto found = stage_permille.find(zone);
  return found == stage_permille.end() ? 0 : found->second;
}

bool MarkSet::Join(const MoveMark& mark) {
  const MoveKey key{mark.service(), mark.move_revision()};
  auto [found, added] = m_moves.try_emplace(key);
  MoveProgress& progress = found->second;
  const uint64_t before = added ? 0 : HashOf(key, progress);
  for (const auto& [zone, stage] : mark.stage_permille()) {
    uint32_t& joined = progress.stage_permille[zone];
    joined = std::max(joined, std::min(stage, kFullStage));
  }
  for (const auto& [zone, settled] : mark.settled()) {
    if (settled) progress.settled[zone] = true;
  }
  progress.excluded.insert(mark.blamed().begin(), mark.blamed().end());
  for (const auto& recall : mark.recalls()) {
    auto [known, is_new] = progress.recalls.emplace(recall.version(), recall);
    if (!is_new && IsEarlier(recall, known->second)) {
      known->second = recall;
    }
  }
  const uint64_t after = HashOf(key, progress);
  m_hash ^= before ^ after;
  return before != after;
}

void MarkSet::Prune(const Batch& batch) {
  std::map<std::string, uint64_t> current;
  for (const auto& service : batch.services()) {
    current[service.service()] = service.move_revision();
  }
  for (auto it = m_moves.begin(); it != m_moves.end();) {
    auto found = current.find(it->first.service);
    const bool replaced = found == current.end()
                              ? it->first.move_revision <= batch.revision()
                              : it->first.move_revision < found->second;
    if (!replaced) {
      ++it;
      continue;
    }
    m_hash ^= HashOf(it->first, it->second);
    it = m_moves.erase(it);
  }
}

const MoveProgress& MarkSet::Progress(std::string_view service,
                                      uint64_t move_revision) const {
  static const MoveProgress kEmpty;
  auto found = m_moves.find(MoveKey{std::string(service), move_revision});
  return found == m_moves.end() ? kEmpty : found->second;
}

bool MarkSet::IsRecalled(std::string_view service,
                         uint64_t move_revision) const {
  return Progress(service, move_revision).IsRecalled();
}

std::vector<MoveMark> MarkSet::All() const {
  std::vector<MoveMark> marks;
  marks.reserve(m_moves.size());
  for (const auto& [key, progress] : m_moves) marks.push_back(MarkOf(key));
  return marks;
}

MoveMark MarkSet::MarkOf(const MoveKey& key) const {
  const MoveProgress& progress = Progress(key.service, key.move_revision);
  MoveMark mark;
  mark.set_service(key.service);
  mark.set_move_revision(key.move_revision);
  for (const auto& [zone, stage] : progress.stage_permille) {
    (*mark.mutable_stage_permille())[zone] = stage;
  }
  for (const auto& [zone, settled] : progress.settled) {
    (*mark.mutable_settled())[zone] = settled;
  }
  for (const auto& [version, recall] : progress.recalls) {
    *mark.add_recalls() = recall;
  }
  for (const auto& member : progress.excluded) mark.add_blamed(member);
  return mark;
}

uint64_t MarkSet::HashOf(const MoveKey& key,
                         const MoveProgress& progress) const {
  // Nodes compare these hashes, so all nodes must hash the same text. Prefixes:
  // "s" stage, "d" settled, "b" excluded target, "r" recall.
  std::string text = key.service + '\n' + std::to_string(key.move_revision);
  for (const auto& [zone, stage] : progress.stage_permille) {
    text += "\ns" + zone + ' ' + std::to_string(stage);
  }
  for (const auto& [zone, settled] : progress.settled) text += "\nd" + zone;
  for (const auto& member : progress.excluded) text += "\nb" + member;
  for (const auto& [version, recall] : progress.recalls) {
    text += "\nr" + version + ' ' + std::to_string(recall.decided_ms()) + ' ' +
            recall.decided_by() + ' ' + recall.reason();
  }
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace kumquatmoor
