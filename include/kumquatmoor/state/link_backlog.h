#ifndef KUMQUATMOOR_STATE_LINK_BACKLOG_H_
#define KUMQUATMOOR_STATE_LINK_BACKLOG_H_

// LinkBacklog: admission control for the outgoing link of a host. Responses
// that are larger than the link can carry in time are refused before their
// requests run, as requests are that find no slot in time (see SlotQueue).
//
//   auto backlog = std::make_shared<LinkBacklog>(link_rate);
//   const LinkEstimate estimate = backlog->Estimate(request, now);
//   if (!estimate.in_time) return Refuse(estimate.wait);  // Retry-After
//   LinkReservation reservation(backlog, size.mean);
//   ...
//   reservation.SetSize(body.size());  // The response is there.
//   *reservation.SentBytes() += part_bytes;
//
// A response counts from the admission of its request until it is sent. Large
// ones are expected to be sent one after another, behind the small ones, which
// is the order of LinkScheduler. A response that will be late is admitted only
// if at most one other waits, so that late responses do not make others late.
//
// Reads no clock. Not thread-safe.

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>

#include "kumquatmoor/state/limits.h"
#include "kumquatmoor/state/response_sizes.h"

namespace kumquatmoor {

// A request whose response would use the link.
struct LinkRequest {
  ResponseSize size;                       // Expected.
  std::chrono::milliseconds run_time{50};  // Expected.
  TimePoint objective = TimePoint::max();  // A response up to then is in time.
  TimePoint deadline = TimePoint::max();   // A later response is of no use.
};

struct LinkEstimate {
  bool in_time = true;
  // If not `in_time`: the time until such a request would be admitted, if no
  // other comes.
  std::chrono::milliseconds wait{0};
};

class LinkBacklog {
 public:
  // `rate` is what responses may use of the link, in bytes per second. With 0
  // it is unknown: every response is in time.
  explicit LinkBacklog(double rate) : m_rate(rate) {}

  LinkEstimate Estimate(const LinkRequest& request, TimePoint now) const;
  // The time that the link needs for a response of this size if it is idle.
  std::chrono::milliseconds TransferTime(size_t bytes) const;
  // The time until a response of this size begins to be sent, if it were ready
  // now.
  std::chrono::milliseconds WaitBefore(size_t bytes) const;
  // The same for a large response.
  std::chrono::milliseconds TotalWait() const {
    return WaitBefore(ResponseSize::kBulkBytes);
  }

 private:
  friend class LinkReservation;

  struct Response {
    size_t bytes = 0;  // Expected, or known.
    size_t sent = 0;
    size_t Left() const { return bytes - std::min(bytes, sent); }
  };

  double m_rate;
  uint64_t m_last_id = 0;
  std::map<uint64_t, Response> m_responses;  // By reservation.
};

// The part of the backlog that one response has. Removed at the end of its
// lifetime, whether or not the response was sent.
class LinkReservation {
 public:
  LinkReservation() = default;
  LinkReservation(std::shared_ptr<LinkBacklog> backlog, size_t bytes);
  LinkReservation(const LinkReservation&) = delete;
  LinkReservation& operator=(const LinkReservation&) = delete;
  LinkReservation(LinkReservation&& other) noexcept;
  LinkReservation& operator=(LinkReservation&& other) noexcept;
  ~LinkReservation();

  // The size of the response is known now.
  void SetSize(size_t bytes);
  // The bytes that the link has taken of the response, to be updated by the
  // sender. Valid during the lifetime of the reservation; null if nothing is
  // reserved.
  size_t* SentBytes();

 private:
  void Release();

  std::shared_ptr<LinkBacklog> m_backlog;  // Null: nothing is reserved.
  uint64_t m_id = 0;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_LINK_BACKLOG_H_
