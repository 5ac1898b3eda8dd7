#ifndef KUMQUATMOOR_STATE_STORE_REVISION_H_
#define KUMQUATMOOR_STATE_STORE_REVISION_H_

// Revisions across generations of the store, and the order of batches.
//
//   uint64_t revision = MakeRevision(store.Generation(), entry.version);
//   FormatRevision(revision);                      // "1/7"
//   if (IsNewer(StampOf(read), StampOf(in_force))) ...
//
// A store that comes back from an older copy gives out revisions that it has
// given out before. It then has a higher generation. A revision of this project
// holds the generation in the upper 16 bits and the store's revision in the
// lower 48, so revisions of a later generation are higher. Those of generation
// 0 equal the store's.
//
// The functions are pure.

#include <cstdint>
#include <string>

#include "control.pb.h"

namespace kumquatmoor {

inline constexpr int kStoreRevisionBits = 48;
inline constexpr uint64_t kMaxStoreRevision =
    (uint64_t{1} << kStoreRevisionBits) - 1;
inline constexpr uint64_t kMaxGeneration =
    UINT64_MAX >> static_cast<unsigned>(kStoreRevisionBits);

// Numbers above the maximum count as the maximum.
uint64_t MakeRevision(uint64_t generation, uint64_t store_revision);
uint64_t GenerationOf(uint64_t revision);
uint64_t StoreRevisionOf(uint64_t revision);
// "7" for store revision 7 of generation 0, "1/7" for that of generation 1.
std::string FormatRevision(uint64_t revision);

// What decides which of two batches is newer.
struct BatchStamp {
  uint64_t revision = 0;
  uint64_t config_version = 0;  // The operators' version, 0 if unknown.
  uint64_t carried_weight = 0;
  bool operator==(const BatchStamp&) const = default;
};

BatchStamp StampOf(const Batch& batch);
BatchStamp StampOf(const BatchDelta& delta);  // Of the resulting batch.
BatchStamp StampOf(const Digest& digest);
BatchStamp StampOf(const SyncRequest& request);  // Of the caller's batch.

// True if a batch with the stamp `a` replaces one with the stamp `b`. Of two
// generations, the batch with the higher `config_version` is the newer one: an
// older copy of the store has an older configuration until the operators have
// written theirs again. Otherwise the revision decides, then the weight of the
// carried moves.
bool IsNewer(const BatchStamp& a, const BatchStamp& b);
// True if a batch with the stamp `a` is of a later generation than one with the
// stamp `b` and does not replace it, since its configuration is older.
bool IsHeldBack(const BatchStamp& a, const BatchStamp& b);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_STORE_REVISION_H_
