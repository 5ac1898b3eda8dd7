#include "kumquatmoor/node/remembered_notices.h"

#include "kumquatmoor/protocol/headers.h"
#include "kumquatmoor/transport/exchange.h"

namespace kumquatmoor {

void RememberedNotices::OnResponse(const std::string& member_id,
                                   const std::string& instance,
                                   const BackendNotice& notice) {
  const auto found = m_entries.find(member_id);
  const BackendNotice valid =
      KeepValidLimit(notice, found == m_entries.end() ? BackendNotice()
                                                      : found->second.notice);
  if (valid != BackendNotice()) {
    m_entries[member_id] = {.instance = instance, .notice = valid};
    return;
  }
  // A response may be older than the one that said that the process leaves.
  if (found != m_entries.end() && !found->second.notice.leaving) {
    m_entries.erase(found);
  }
}

void RememberedNotices::OnNodeReply(const std::string& member_id,
                                    const boost::beast::http::fields& head) {
  const BackendNotice notice = ReadNoticeHeaders(head);
  if (notice == BackendNotice()) return;
  m_entries[member_id] = {.instance = std::string(head[headers::kInstance]),
                          .notice = notice};
}

void RememberedNotices::AddTo(const std::string& member_id,
                              boost::beast::http::fields* head) const {
  const auto found = m_entries.find(member_id);
  if (found == m_entries.end()) {
    SetNoticeHeaders("", {}, head);
  } else {
    SetNoticeHeaders(found->second.instance, found->second.notice, head);
  }
}

}  // namespace kumquatmoor
