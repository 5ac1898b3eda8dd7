// A call is worth the slot that its parent holds. It is in time while its
// parent still is, whatever the objective of its own route.

#include "node/running_requests.h"

#include <algorithm>

namespace kumquatmoor {

const Call* RunningRequests::FindParent(std::string_view call_id,
                                        std::string_view separator) const {
  if (separator.empty()) return nullptr;
  const size_t end = call_id.rfind(separator);
  if (end == std::string_view::npos) return nullptr;
  const auto found = m_calls->find(call_id.substr(0, end));
  return found == m_calls->end() ? nullptr : found->second;
}

void InheritFromParent(const Call& parent, Call* call) {
  call->is_nested_call = true;
  call->parent_route = parent.route;
  call->priority = std::min(call->priority, parent.priority);
  call->organisation = parent.organisation;
  call->organisation_priority = parent.organisation_priority;
  call->objective = std::max(call->objective, parent.objective);
  call->deadline = std::min(call->deadline, parent.deadline);
}

}  // namespace kumquatmoor
