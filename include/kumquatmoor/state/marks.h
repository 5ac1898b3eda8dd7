#ifndef KUMQUATMOOR_STATE_MARKS_H_
#define KUMQUATMOOR_STATE_MARKS_H_

// MarkSet: what is known of the progress of moves, as a join semilattice.
//
//   MarkSet marks;
//   if (marks.Join(mark)) SpreadToOthers(mark);
//   if (marks.IsRecalled("bookings", 7)) ...
//
// A mark belongs to (service, move_revision). Stages join by maximum, settled
// zones by "or", recalls and blame by union, so marks may arrive in any order,
// late or twice, and nothing that a mark said is ever taken back. Not
// thread-safe; copies are independent.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "control.pb.h"

namespace kumquatmoor {

inline constexpr uint32_t kFullStage = 1000;  // Thousandths of the move.

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
  // Members whose target alone is at fault, not its version.
  std::set<std::string> excluded;

  uint32_t StageOf(const std::string& zone) const;
  bool IsRecalled() const { return !recalls.empty(); }
};

class MarkSet {
 public:
  // Joins `mark` in. True if something changed.
  bool Join(const MoveMark& mark);
  // Drops marks of moves that `batch` has replaced by later ones.
  void Prune(const Batch& batch);

  // The progress of a move; an empty one if nothing is known.
  const MoveProgress& Progress(std::string_view service,
                               uint64_t move_revision) const;
  bool IsRecalled(std::string_view service, uint64_t move_revision) const;
  std::vector<MoveMark> All() const;
  // The mark of one move, with what is known of it.
  MoveMark MarkOf(const MoveKey& key) const;
  // Equal for equal contents.
  uint64_t Hash() const { return m_hash; }

 private:
  uint64_t HashOf(const MoveKey& key, const MoveProgress& progress) const;

  std::map<MoveKey, MoveProgress> m_moves;
  uint64_t m_hash = 0;  // Exclusive or over the moves.
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_MARKS_H_
