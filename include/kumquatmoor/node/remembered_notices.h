#ifndef KUMQUATMOOR_NODE_REMEMBERED_NOTICES_H_
#define KUMQUATMOOR_NODE_REMEMBERED_NOTICES_H_

// RememberedNotices: what the backend servers of other hosts last said of
// themselves, if it was anything, by the member id of their node.
//
//   RememberedNotices notices;
//   notices.OnResponse("node-4", "i-7", {.leaving = true});
//   notices.AddTo("node-4", &request_head);
//
// Each request to a node brings along what is remembered of its backend server,
// so that a notice outlives a restart of that node. A node learns of a notice
// from a response of the backend server, or from a reply of the node beside it,
// for example a refusal. Not thread-safe.

#include <boost/beast/http/fields.hpp>
#include <map>
#include <string>

#include "kumquatmoor/protocol/backend_notice.h"

namespace kumquatmoor {

class RememberedNotices {
 public:
  // The backend server of `member_id`, the process `instance`, responded with
  // `notice`.
  void OnResponse(const std::string& member_id, const std::string& instance,
                  const BackendNotice& notice);
  // The node `member_id` refused a request, or could not complete it, and says
  // what it remembers. A reply without a notice changes nothing.
  void OnNodeReply(const std::string& member_id,
                   const boost::beast::http::fields& head);
  // Sets the headers of a request to `member_id`. Those that the request had
  // are removed.
  void AddTo(const std::string& member_id,
             boost::beast::http::fields* head) const;

 private:
  struct Entry {
    std::string instance;
    BackendNotice notice;
  };
  std::map<std::string, Entry> m_entries;  // By member id.
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_REMEMBERED_NOTICES_H_
