#include "kumquatmoor/transport/link_pacer.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
using SteadyClock = std::chrono::steady_clock;

}  // namespace

LinkPacer::LinkPacer(asio::io_context& context, double link_rate)
    : m_context(context), m_timer(context) {
  if (link_rate > 0) m_scheduler.emplace(LinkSchedulerOptions{link_rate});
}

asio::awaitable<bool> LinkPacer::Await(LinkPart part, WatchedPeer peer) {
  if (!m_scheduler || m_scheduler->TakeNow(part.bytes, SteadyClock::now())) {
    co_return true;
  }
  const auto waiter = std::make_shared<Waiter>(m_context);
  waiter->granted.expires_at(SteadyClock::time_point::max());
  const uint64_t ticket = m_scheduler->Enqueue(part);
  m_waiters.emplace(ticket, waiter);
  StartTimer();
  const CallerWatch watch(std::move(peer), [this, ticket] { Abandon(ticket); });
  boost::system::error_code cancelled;
  co_await waiter->granted.async_wait(
      asio::redirect_error(asio::use_awaitable, cancelled));
  co_return waiter->may_send;
}

void LinkPacer::Abandon(uint64_t ticket) {
  const auto found = m_waiters.find(ticket);
  if (found == m_waiters.end()) return;
  m_scheduler->Remove(ticket);
  found->second->granted.cancel();
  m_waiters.erase(found);
}

void LinkPacer::Charge(size_t bytes) {
  if (m_scheduler) m_scheduler->Charge(bytes, SteadyClock::now());
}

void LinkPacer::GrantDue() {
  for (const LinkGrant& grant : m_scheduler->Grant(SteadyClock::now())) {
    const auto found = m_waiters.find(grant.ticket);
    if (found == m_waiters.end()) continue;
    found->second->may_send = !grant.expired;
    found->second->granted.cancel();
    m_waiters.erase(found);
  }
  StartTimer();
}

void LinkPacer::StartTimer() {
  if (m_timer_started) return;
  const auto next = m_scheduler->NextGrant(SteadyClock::now());
  if (!next) return;
  m_timer_started = true;
  m_timer.expires_at(*next);
  m_timer.async_wait([this](boost::system::error_code error) {
    m_timer_started = false;
    if (!error) GrantDue();
  });
}

}  // namespace kumquatmoor
