// Consecutive deltas are merged by name: the later change or removal of a
// service or route replaces the earlier one.

#include "kumquatmoor/state/delta_history.h"

#include <string>
#include <unordered_set>

namespace kumquatmoor {
namespace {

using Names = google::protobuf::RepeatedPtrField<std::string>;

// Adds to the lists of a later delta what only the earlier one changed.
template <typename Items, typename Name>
void MergeChanges(const Items& earlier_changed, const Names& earlier_removed,
                  Name name, Items* changed, Names* removed) {
  std::unordered_set<std::string> replaced(removed->begin(), removed->end());
  for (const auto& item : *changed) replaced.insert(name(item));
  for (const auto& item : earlier_changed) {
    if (replaced.count(name(item)) == 0) *changed->Add() = item;
  }
  for (const auto& item : earlier_removed) {
    if (replaced.count(item) == 0) *removed->Add() = item;
  }
}

void MergeEarlier(const BatchDelta& earlier, BatchDelta* delta) {
  delta->set_base_revision(earlier.base_revision());
  MergeChanges(
      earlier.changed(), earlier.removed(),
      [](const ServiceConfig& config) { return config.service(); },
      delta->mutable_changed(), delta->mutable_removed());
  MergeChanges(
      earlier.changed_routes(), earlier.removed_routes(),
      [](const HttpRoute& route) { return route.name(); },
      delta->mutable_changed_routes(), delta->mutable_removed_routes());
}

}  // namespace

void DeltaHistory::Add(const BatchDelta& delta, size_t batch_bytes) {
  m_deltas.push_back(delta);
  m_bytes += delta.ByteSizeLong();
  while (!m_deltas.empty() &&
         (m_bytes > batch_bytes || m_deltas.size() > kMaxDeltas)) {
    m_bytes -= m_deltas.front().ByteSizeLong();
    m_deltas.pop_front();
  }
}

std::optional<BatchDelta> DeltaHistory::Since(uint64_t revision) const {
  auto found = m_deltas.rbegin();
  while (found != m_deltas.rend() && found->base_revision() != revision) {
    ++found;
  }
  if (found == m_deltas.rend()) return std::nullopt;
  BatchDelta merged = m_deltas.back();
  for (auto earlier = m_deltas.rbegin(); earlier != found;) {
    MergeEarlier(*++earlier, &merged);
  }
  return merged;
}

}  // namespace kumquatmoor
