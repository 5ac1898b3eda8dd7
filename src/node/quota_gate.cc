// A request that waits is woken by each reply for its organisation and asks the
// client again. Timers run on the steady clock, tokens expire by
// BootTimePoint().

#include "node/quota_gate.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "node/boot_time.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;

}  // namespace

QuotaGate::QuotaGate(asio::io_context& context, uint64_t seed)
    : m_context(context), m_client(seed), m_timer(context) {}

void QuotaGate::SetLimits(std::shared_ptr<const QuotaLimits> limits,
                          size_t known_members) {
  m_client.SetLimits(std::move(limits), known_members);
  m_client.OnMembersChanged();
  Schedule();
}

asio::awaitable<QuotaDecision> QuotaGate::Take(const std::string& organisation,
                                               TimePoint until) {
  QuotaDecision decision = m_client.Take(organisation, BootTimePoint());
  if (std::holds_alternative<QuotaWait>(decision)) {
    decision = co_await Wait(organisation, until);
  }
  Schedule();
  co_return decision;
}

asio::awaitable<QuotaDecision> QuotaGate::Wait(const std::string& organisation,
                                               TimePoint until) {
  until = std::min(until, Clock::now() + QuotaClient::kMaxWait);
  asio::steady_timer timer(m_context);
  auto& waiting = (*m_waiters)[organisation];
  const auto unregister = [waiters = m_waiters,
                           &organisation](asio::steady_timer* gone) {
    const auto found = waiters->find(organisation);
    found->second.remove(gone);
    if (found->second.empty()) waiters->erase(found);
  };
  waiting.push_back(&timer);
  const std::unique_ptr<asio::steady_timer, decltype(unregister)> registration(
      &timer, unregister);
  QuotaDecision decision = QuotaWait{};
  while (std::holds_alternative<QuotaWait>(decision)) {
    Schedule();
    timer.expires_at(until);
    boost::system::error_code woken;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, woken));
    const TimePoint now = BootTimePoint();
    decision = Clock::now() < until ? m_client.TakeWaiting(organisation, now)
                                    : m_client.StopWaiting(organisation, now);
  }
  co_return decision;
}

void QuotaGate::Return(std::string_view organisation, TimePoint taken) {
  m_client.Return(organisation, taken, BootTimePoint());
  Schedule();
}

void QuotaGate::OnGrants(const std::vector<QuotaGrant>& grants,
                         TimePoint sent) {
  const TimePoint now = BootTimePoint();
  for (const auto& grant : grants) {
    m_client.OnGrant(grant, sent, now);
    const auto waiting = m_waiters->find(grant.organisation());
    if (waiting == m_waiters->end()) continue;
    for (auto* timer : waiting->second) timer->cancel();
  }
  Schedule();
}

void QuotaGate::Schedule() {
  const TimePoint next = m_client.NextRequestsAt();
  if (next >= m_scheduled) return;
  m_scheduled = next;
  const auto delay = next == TimePoint::min()
                         ? Clock::duration(0)
                         : std::max(Clock::duration(0), next - BootTimePoint());
  m_timer.expires_after(delay);
  m_timer.async_wait([this](boost::system::error_code error) {
    if (!error) SendRequests();
  });
}

void QuotaGate::SendRequests() {
  const TimePoint now = BootTimePoint();
  m_scheduled = TimePoint::max();
  auto requests = m_client.PopRequests(now);
  if (!requests.empty() && m_handler) m_handler(std::move(requests), now);
  Schedule();
}

}  // namespace kumquatmoor
