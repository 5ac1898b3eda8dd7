#ifndef KUMQUATMOOR_STATE_DELTA_HISTORY_H_
#define KUMQUATMOOR_STATE_DELTA_HISTORY_H_

// DeltaHistory: the deltas between the latest batches that a node held, from
// which it tells another node what changed since an older batch.
//
//   DeltaHistory history;
//   history.Add(MakeDelta(first, second), second.ByteSizeLong());
//   history.Add(MakeDelta(second, third), third.ByteSizeLong());
//   history.Since(first.revision());  // Equals MakeDelta(first, third).
//
// The history is bounded in number, and in bytes by the size of the latest
// batch, beyond which a delta saves nothing. Not thread-safe.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "control.pb.h"

namespace kumquatmoor {

class DeltaHistory {
 public:
  static constexpr size_t kMaxDeltas = 32;

  // Adds the delta to the latest batch, which has `batch_bytes`. Its base must
  // be the revision of the delta that was added before.
  void Add(const BatchDelta& delta, size_t batch_bytes);
  // Returns the delta from the batch `revision` to the latest one. Returns
  // nullopt if the history does not reach back to that batch.
  std::optional<BatchDelta> Since(uint64_t revision) const;

 private:
  std::deque<BatchDelta> m_deltas;  // Oldest first.
  size_t m_bytes = 0;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_DELTA_HISTORY_H_
