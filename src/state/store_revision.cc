#include "kumquatmoor/state/store_revision.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace kumquatmoor {
namespace {

// A batch, a delta and a digest name these fields alike.
template <typename Message>
BatchStamp StampOfMessage(const Message& message) {
  return {.revision = message.revision(),
          .config_version = message.config_version(),
          .carried_weight = message.carried_weight()};
}

// True if the operators' versions decide, which only rise: the batches are of
// different generations.
bool VersionsDecide(const BatchStamp& a, const BatchStamp& b) {
  return GenerationOf(a.revision) != GenerationOf(b.revision) &&
         a.config_version != 0 && b.config_version != 0 &&
         a.config_version != b.config_version;
}

}  // namespace

uint64_t MakeRevision(uint64_t generation, uint64_t store_revision) {
  return std::min(generation, kMaxGeneration) << kStoreRevisionBits |
         std::min(store_revision, kMaxStoreRevision);
}

uint64_t GenerationOf(uint64_t revision) {
  return revision >> kStoreRevisionBits;
}

uint64_t StoreRevisionOf(uint64_t revision) {
  return revision & kMaxStoreRevision;
}

std::string FormatRevision(uint64_t revision) {
  const uint64_t generation = GenerationOf(revision);
  if (generation == 0) return fmt::format("{}", revision);
  return fmt::format("{}/{}", generation, StoreRevisionOf(revision));
}

BatchStamp StampOf(const Batch& batch) { return StampOfMessage(batch); }

BatchStamp StampOf(const BatchDelta& delta) { return StampOfMessage(delta); }

BatchStamp StampOf(const Digest& digest) { return StampOfMessage(digest); }

BatchStamp StampOf(const SyncRequest& request) {
  return {.revision = request.have_revision(),
          .config_version = request.config_version(),
          .carried_weight = request.carried_weight()};
}

bool IsNewer(const BatchStamp& a, const BatchStamp& b) {
  if (VersionsDecide(a, b)) return a.config_version > b.config_version;
  if (a.revision != b.revision) return a.revision > b.revision;
  return a.carried_weight > b.carried_weight;
}

bool IsHeldBack(const BatchStamp& a, const BatchStamp& b) {
  return GenerationOf(a.revision) > GenerationOf(b.revision) && IsNewer(b, a);
}

}  // namespace kumquatmoor
