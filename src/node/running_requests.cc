// An id may contain the separator itself, also that of a request that is no
// call. The longest part of the id that ends before a separator and is the id
// of a running request names the parent.

#include "node/running_requests.h"

#include <algorithm>
#include <utility>

namespace kumquatmoor {

RunningRequests::Entry RunningRequests::Begin(const Call& call) {
  const auto at = m_calls->emplace(call.request_id, call);
  return {&at->second, [calls = m_calls, at](void*) { calls->erase(at); }};
}

const Call* RunningRequests::FindParent(std::string_view request_id) const {
  while (HasCallId(request_id)) {
    request_id = request_id.substr(0, request_id.rfind(m_separator));
    const auto found = m_calls->find(request_id);
    if (found != m_calls->end()) return &found->second;
  }
  return nullptr;
}

bool RunningRequests::HasCallId(std::string_view request_id) const {
  return !m_separator.empty() &&
         request_id.find(m_separator) != std::string_view::npos;
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
