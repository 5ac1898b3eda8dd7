#ifndef KUMQUATMOOR_SRC_NODE_RUNNING_REQUESTS_H_
#define KUMQUATMOOR_SRC_NODE_RUNNING_REQUESTS_H_

// RunningRequests: the requests that the backend servers of this host run, by
// id. A call that a backend server makes meanwhile has the id of the request
// that it runs, a separator and a suffix.
//
//   const auto entry = running.Add(call);  // Until `entry` is destroyed.
//   ...
//   const Call* parent = running.FindParent("r17.1", ".");
//   if (parent != nullptr) InheritFromParent(*parent, &nested_call);

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "node/call.h"

namespace kumquatmoor {

class RunningRequests {
 private:
  // The same id may run more than once if the request is idempotent.
  using Calls = std::multimap<std::string, const Call*, std::less<>>;

 public:
  class Entry {
   public:
    Entry(std::shared_ptr<Calls> calls, Calls::iterator position)
        : m_calls(std::move(calls)), m_position(position) {}
    ~Entry() { m_calls->erase(m_position); }
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

   private:
    std::shared_ptr<Calls> m_calls;  // Outlives the owner of the table.
    Calls::iterator m_position;
  };

  // `call` must outlive the entry.
  Entry Add(const Call& call) {
    return {m_calls, m_calls->emplace(call.request_id, &call)};
  }
  // The request during which a backend server makes the call `call_id`. Returns
  // nullptr if none runs, or if calls have no separator.
  const Call* FindParent(std::string_view call_id,
                         std::string_view separator) const;

 private:
  std::shared_ptr<Calls> m_calls = std::make_shared<Calls>();
};

// Passes on to a nested call what depends on the request that it is made for:
// the more urgent priority, the organisation, the later objective and the
// earlier deadline.
void InheritFromParent(const Call& parent, Call* call);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_NODE_RUNNING_REQUESTS_H_
