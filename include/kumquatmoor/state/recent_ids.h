#ifndef KUMQUATMOOR_STATE_RECENT_IDS_H_
#define KUMQUATMOOR_STATE_RECENT_IDS_H_

// RecentIds: a bounded set of request ids that drops the oldest one first.
//
//   RecentIds ids(1'000);
//   ids.Insert(request_id);
//   if (ids.Contains(other_id)) ...
//
// Not thread-safe.

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>

namespace kumquatmoor {

class RecentIds {
 public:
  explicit RecentIds(size_t capacity) : m_capacity(capacity) {}

  // Has no effect if the id is in the set.
  void Insert(const std::string& id) {
    if (!m_ids.insert(id).second) return;
    m_by_age.push_back(id);
    if (m_by_age.size() <= m_capacity) return;
    m_ids.erase(m_by_age.front());
    m_by_age.pop_front();
  }
  void Erase(const std::string& id) { m_ids.erase(id); }
  bool Contains(const std::string& id) const { return m_ids.count(id) > 0; }

 private:
  size_t m_capacity;
  std::unordered_set<std::string> m_ids;
  // The inserted ids, oldest first. May contain erased ids.
  std::deque<std::string> m_by_age;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_RECENT_IDS_H_
