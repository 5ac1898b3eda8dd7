// Idle organisations are looked for only when the table is full: an entry whose
// finish time has passed has the same start tag as no entry. While the table is
// full of busy organisations, a new one shares the finish time of the others
// without an entry, so that many names gain no more than one.

#include "kumquatmoor/state/fair_share.h"

#include <algorithm>

namespace kumquatmoor {

FairShare::Tag FairShare::StartTag(std::string_view organisation) const {
  const auto found = m_finish.find(organisation);
  if (found != m_finish.end()) return std::max(m_now, found->second);
  const bool shares_entry = m_finish.size() >= kMaxOrganisations;
  return shares_entry ? std::max(m_now, m_others) : m_now;
}

void FairShare::OnStarted(std::string_view organisation,
                          std::chrono::milliseconds run_time) {
  m_now = StartTag(organisation);
  auto found = m_finish.find(organisation);
  if (found == m_finish.end()) {
    if (m_finish.size() >= kMaxOrganisations) ForgetIdle();
    if (m_finish.size() >= kMaxOrganisations) {
      m_others = m_now + run_time;
      return;
    }
    found = m_finish.emplace(organisation, m_now).first;
  }
  found->second = m_now + run_time;
}

void FairShare::ForgetIdle() {
  std::erase_if(m_finish,
                [this](const auto& item) { return item.second <= m_now; });
}

}  // namespace kumquatmoor
