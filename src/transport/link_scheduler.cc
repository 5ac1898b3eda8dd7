// A token bucket that is refilled at the rate of the link less the reserved
// fraction. A part is sent as soon as the bucket is not empty and may take more
// than it holds; the next part then waits until the difference is refilled.
// Thus the link's queue holds at most the bucket's depth and one part.

#include "kumquatmoor/transport/link_scheduler.h"

#include <algorithm>
#include <chrono>

namespace kumquatmoor {
namespace {

// Depth of the bucket: at least kMinBurstBytes, so that a small message passes
// without a wait, and at least the bytes of kMinBurstTime, so that a late timer
// leaves no capacity unused on a fast link.
constexpr double kMinBurstBytes = 32'768;
constexpr std::chrono::duration<double> kMinBurstTime{0.02};

}  // namespace

LinkScheduler::LinkScheduler(LinkSchedulerOptions options)
    : m_rate(options.UsableRate()),
      m_burst(std::max(kMinBurstBytes, m_rate * kMinBurstTime.count())),
      m_tokens(m_burst) {}

void LinkScheduler::Refill(TimePoint now) {
  if (now <= m_refilled) return;
  const std::chrono::duration<double> elapsed = now - m_refilled;
  m_tokens = std::min(m_burst, m_tokens + elapsed.count() * m_rate);
  m_refilled = now;
}

bool LinkScheduler::TakeNow(size_t bytes, TimePoint now) {
  Refill(now);
  if (!m_waiting.empty() || m_tokens <= 0) return false;
  m_tokens -= static_cast<double>(bytes);
  return true;
}

void LinkScheduler::Charge(size_t bytes, TimePoint now) {
  Refill(now);
  m_tokens -= static_cast<double>(bytes);
}

uint64_t LinkScheduler::Enqueue(const LinkPart& part) {
  const bool is_long = part.message_left >= kShortMessageBytes;
  m_waiting.insert({.is_long = is_long,
                    .long_ready = is_long ? part.message_ready : TimePoint(),
                    .short_left = is_long ? 0 : part.message_left,
                    .ticket = ++m_last_ticket,
                    .bytes = part.bytes,
                    .deadline = part.deadline});
  return m_last_ticket;
}

std::vector<LinkGrant> LinkScheduler::Grant(TimePoint now) {
  Refill(now);
  std::vector<LinkGrant> grants;
  while (!m_waiting.empty() && m_tokens > 0) {
    const auto first = m_waiting.begin();
    const bool expired = now >= first->deadline;
    if (!expired) m_tokens -= static_cast<double>(first->bytes);
    grants.push_back({.ticket = first->ticket, .expired = expired});
    m_waiting.erase(first);
  }
  return grants;
}

void LinkScheduler::Remove(uint64_t ticket) {
  std::erase_if(m_waiting, [ticket](const Waiting& waiting) {
    return waiting.ticket == ticket;
  });
}

std::optional<LinkScheduler::TimePoint> LinkScheduler::NextGrant(
    TimePoint now) {
  if (m_waiting.empty()) return std::nullopt;
  Refill(now);
  if (m_tokens > 0) return now;
  // One byte more than the deficit, because a grant needs a positive balance.
  const std::chrono::duration<double> wait((1 - m_tokens) / m_rate);
  return now + std::chrono::ceil<std::chrono::microseconds>(wait);
}

}  // namespace kumquatmoor
