// A response starts to be sent when its request has run and the responses that
// go before it are sent; both take place at the same time. The link then takes
// the transfer time of the response, for which the high estimate of its size is
// used: sizes vary more than the rate of the link.

#include "kumquatmoor/state/link_backlog.h"

#include <algorithm>
#include <utility>

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

// Allows for run times above the mean, as in SlotQueueOptions, and for larger
// responses before this one. A shorter backlog costs no throughput as long as
// the link does not become idle.
constexpr double kMargin = 1.4;

milliseconds TimeFor(double bytes, double rate) {
  constexpr double kMsPerSecond = 1'000;
  return milliseconds(static_cast<int64_t>(kMsPerSecond * bytes / rate));
}

}  // namespace

milliseconds LinkBacklog::TransferTime(size_t bytes) const {
  if (m_rate <= 0) return milliseconds(0);
  return TimeFor(static_cast<double>(bytes), m_rate);
}

milliseconds LinkBacklog::WaitBefore(size_t bytes) const {
  if (m_rate <= 0) return milliseconds(0);
  const bool is_small = bytes < ResponseSize::kBulkBytes;
  double before = 0;
  for (const auto& [id, response] : m_responses) {
    if (is_small && response.Left() > bytes) continue;
    before += static_cast<double>(response.Left());
  }
  return TimeFor(before, m_rate);
}

LinkEstimate LinkBacklog::Estimate(const LinkRequest& request,
                                   TimePoint now) const {
  if (m_rate <= 0 || request.size.mean == 0) return {};
  const milliseconds link_wait = WaitBefore(request.size.high);
  const milliseconds transfer = TransferTime(request.size.high);
  const TimePoint earliest_end =
      now + std::max(request.run_time, link_wait) + transfer;
  const auto wait = std::chrono::duration_cast<milliseconds>(
      std::max(request.run_time, link_wait) * kMargin);
  const TimePoint end = now + wait + transfer;
  const bool late = end > request.objective;
  const milliseconds late_wait = TransferTime(request.size.mean);
  const bool admit_late = link_wait <= late_wait;
  if (earliest_end <= request.deadline && (!late || admit_late)) return {};
  return {.in_time = false,
          .wait = std::max(milliseconds(0), link_wait - late_wait)};
}

LinkReservation::LinkReservation(std::shared_ptr<LinkBacklog> backlog,
                                 size_t bytes)
    : m_backlog(std::move(backlog)), m_id(++m_backlog->m_last_id) {
  m_backlog->m_responses.emplace(m_id, LinkBacklog::Response{.bytes = bytes});
}

LinkReservation::LinkReservation(LinkReservation&& other) noexcept
    : m_backlog(std::move(other.m_backlog)), m_id(other.m_id) {}

LinkReservation& LinkReservation::operator=(LinkReservation&& other) noexcept {
  if (this == &other) return *this;
  Release();
  m_backlog = std::move(other.m_backlog);
  m_id = other.m_id;
  return *this;
}

LinkReservation::~LinkReservation() { Release(); }

void LinkReservation::Release() {
  if (m_backlog != nullptr) m_backlog->m_responses.erase(m_id);
  m_backlog.reset();
}

void LinkReservation::SetSize(size_t bytes) {
  if (m_backlog != nullptr) m_backlog->m_responses[m_id].bytes = bytes;
}

size_t* LinkReservation::SentBytes() {
  return m_backlog == nullptr ? nullptr : &m_backlog->m_responses[m_id].sent;
}

}  // namespace kumquatmoor
