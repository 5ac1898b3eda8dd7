// The part of ControlLoop that exchanges quota tokens with other nodes. A
// message between two nodes has the id of the sender and what the exchange set,
// and nothing else: there may be one for each request of a small organisation.

#include <utility>

#include "kumquatmoor/node/control_loop.h"
#include "node/boot_time.h"

namespace kumquatmoor {

void ControlLoop::UpdateQuotas() {
  const TimePoint now = BootTimePoint();
  m_quotas.Advance(now);
  if (!m_ready) return;
  bool changed = false;
  if (m_quota_batch != m_replica.SharedBatch()) {
    m_quota_batch = m_replica.SharedBatch();
    const bool had_quotas =
        m_quota_limits != nullptr && !m_quota_limits->empty();
    m_quota_limits =
        std::make_shared<const QuotaLimits>(ReadQuotaLimits(*m_quota_batch));
    m_quotas.SetLimits(m_quota_limits);
    changed = had_quotas || !m_quota_limits->empty();
  }
  changed = m_quotas.SetMembers(m_replica.Members(), now) || changed;
  if (changed) m_proxy->SetQuotas(m_quota_limits, m_quotas.KnownMembers());
}

void ControlLoop::AskForQuota(const std::vector<QuotaRequest>& requests,
                              TimePoint sent) {
  SendQuotas(m_quotas.Ask(requests, sent, BootTimePoint()));
}

void ControlLoop::OnQuotaDatagram(const Datagram& datagram, TimePoint now) {
  SendQuotas(m_quotas.OnDatagram(datagram, BootTimePoint()));
  ExtendDecisions(now);
}

void ControlLoop::SendQuotas(QuotaExchange::Result result) {
  for (auto& message : result.messages) {
    message.datagram.set_from(m_options.replica.id);
    SendTo(message.to, message.datagram);
  }
  if (result.grants.empty()) return;
  m_proxy->OnQuotaGrants(std::move(result.grants), result.sent);
}

}  // namespace kumquatmoor
