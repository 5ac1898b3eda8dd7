#ifndef KUMQUATMOOR_STATE_MARKS_H_
#define KUMQUATMOOR_STATE_MARKS_H_

// MarkSet: the progress of all moves, replicated as a join semilattice.
//
//   MarkSet marks;
//   if (marks.Join(mark)) Broadcast(mark);
//   if (marks.IsRecalled("bookings", 7)) ...
//
// Terms:
// - A move is the gradual shift of a service's traffic to new weights; see
//   batch.h. It is identified by the service and the revision of the batch that
//   started it.
// - A mark (MoveMark) is the replicated progress record of one move. Nodes
//   exchange marks and join them.
// - The stage of a zone is the part of the move that the zone has reached, in
//   thousandths: at stage 0 the weights before the move apply, at 1000 the new
//   ones. kStages in routes.h lists the stages.
// - A zone is settled if it stayed at full stage for the settle time and no
//   regression was found.
// - A recall is the permanent rollback of a canary version in every zone.
// - An excluded target is an outlier: a single failing target that gets no
//   requests of its move, while its version goes on. The protocol calls the
//   field `blamed`.
//
// Stages join by maximum, settled zones by "or", recalls and excluded targets
// by union. Marks may therefore arrive in any order, late or more than once,
// and no join reverts what an earlier mark reported.
//
// Not thread-safe; copies are independent.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "control.pb.h"

namespace kumquatmoor {

// The stage at which the new weights apply in full, in thousandths.
inline constexpr uint32_t kFullStage = 1000;

struct MoveKey {
  std::string service;
  uint64_t move_revision = 0;
  auto operator<=>(const MoveKey&) const = default;
};

// Progress of one move.
struct MoveProgress {
  std::map<std::string, uint32_t> stage_permille;  // By zone.
  std::map<std::string, bool> settled;             // By zone.
  std::map<std::string, Recall> recalls;           // By version.
  // Member ids of the excluded targets.
  std::set<std::string> excluded;

  // The stage of `zone`, 0 if it has not begun the move.
  uint32_t StageOf(const std::string& zone) const;
  // True if a version was recalled, which rolls back the whole move.
  bool IsRecalled() const { return !recalls.empty(); }
};

class MarkSet {
 public:
  // Joins `mark` into the set. Returns true if the set changed.
  bool Join(const MoveMark& mark);
  // Removes the marks of moves that `batch` replaced by later moves, and of
  // services that it no longer has.
  void Prune(const Batch& batch);

  // The progress of a move, empty if the set has no mark of it. The reference
  // is valid until the next Prune().
  const MoveProgress& Progress(std::string_view service,
                               uint64_t move_revision) const;
  // True if a version was recalled in the given move.
  bool IsRecalled(std::string_view service, uint64_t move_revision) const;
  // One mark for each move.
  std::vector<MoveMark> All() const;
  // The joined mark of one move.
  MoveMark MarkOf(const MoveKey& key) const;
  // A hash of the contents, for anti-entropy: equal sets have equal hashes.
  uint64_t Hash() const { return m_hash; }

 private:
  uint64_t HashOf(const MoveKey& key, const MoveProgress& progress) const;

  std::map<MoveKey, MoveProgress> m_moves;
  uint64_t m_hash = 0;  // Exclusive or of the hashes of all moves.
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_MARKS_H_
