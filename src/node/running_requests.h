#ifndef KUMQUATMOOR_SRC_NODE_RUNNING_REQUESTS_H_
#define KUMQUATMOOR_SRC_NODE_RUNNING_REQUESTS_H_

// RunningRequests: the requests that the backend servers of this host run, by
// id. A call that a backend server makes while it runs a request names that
// request in its id.
//
//   RunningRequests running(".");
//   RunningRequests::Entry entry = running.Begin(call);  // Id "q7".
//   const Call* parent = running.FindParent("q7.2");     // `call`
//   entry.reset();                                       // The run has ended.
//
// Used from the one thread of the proxy's io_context. Entries may outlive the
// table. Pointers to calls are valid until their entry ends.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "node/call.h"

namespace kumquatmoor {

class RunningRequests {
 public:
  // Ends the run when it is destroyed.
  using Entry = std::unique_ptr<void, std::function<void(void*)>>;

  // `separator` is between the id of a request and the rest of the id of a call
  // that is made for it. If it is empty, calls cannot be recognised.
  explicit RunningRequests(std::string separator)
      : m_separator(std::move(separator)) {}

  Entry Begin(const Call& call);
  // The request that a backend server of this host runs and for which it makes
  // the call with this id. Returns nullptr if there is none.
  const Call* FindParent(std::string_view request_id) const;
  // True if the id has the form of that of a call.
  bool HasCallId(std::string_view request_id) const;

 private:
  using Calls = std::multimap<std::string, Call, std::less<>>;

  std::string m_separator;
  std::shared_ptr<Calls> m_calls = std::make_shared<Calls>();
};

// Passes on to a nested call what depends on the request that it is made for:
// the more urgent priority, the organisation, the later objective and the
// earlier deadline.
void InheritFromParent(const Call& parent, Call* call);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_NODE_RUNNING_REQUESTS_H_
