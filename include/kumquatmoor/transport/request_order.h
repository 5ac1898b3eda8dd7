#ifndef KUMQUATMOOR_TRANSPORT_REQUEST_ORDER_H_
#define KUMQUATMOOR_TRANSPORT_REQUEST_ORDER_H_

// RequestOrder: the order of the requests in flight on a caller's connection.
// It decides which request may respond, whether another one may be read, and
// which ones are cancelled because an earlier response closes the connection.
//
//   RequestOrder order;
//   if (order.HasRoom(max_request_bytes)) ticket = order.Add(bytes);
//   if (order.IsFirst(ticket)) ...   // May write its response.
//   order.CancelAfter(ticket);       // Its response closes the connection.
//   order.Remove(ticket);            // The next request becomes the first.

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>

namespace kumquatmoor {

struct ReadAheadLimits {
  size_t requests = 16;    // In flight on a connection.
  size_t bytes = 262'144;  // Of their heads and bodies.
};

class RequestOrder {
 public:
  // Tickets rise in the order of the requests. The first one is 1.
  using Ticket = uint64_t;

  explicit RequestOrder(ReadAheadLimits limits = {}) : m_limits(limits) {}

  Ticket Add(size_t bytes) {
    m_bytes += bytes;
    m_in_flight.emplace(++m_last_ticket, bytes);
    return m_last_ticket;
  }
  void Remove(Ticket ticket) {
    const auto found = m_in_flight.find(ticket);
    if (found == m_in_flight.end()) return;
    m_bytes -= found->second;
    m_in_flight.erase(found);
  }

  bool IsEmpty() const { return m_in_flight.empty(); }
  // True if a request of up to `bytes` may be read and started.
  bool HasRoom(size_t bytes) const {
    return m_in_flight.size() < m_limits.requests &&
           m_bytes + bytes <= m_limits.bytes;
  }
  bool IsFirst(Ticket ticket) const {
    return !m_in_flight.empty() && m_in_flight.begin()->first == ticket;
  }
  bool IsLast(Ticket ticket) const { return ticket == m_last_ticket; }

  // Cancels the requests behind `last`, those that are still to come included.
  // 0 cancels all.
  void CancelAfter(Ticket last) {
    if (last < m_last_valid) m_last_valid = last;
  }
  bool IsCancelled(Ticket ticket) const { return ticket > m_last_valid; }
  // True if no request is cancelled.
  bool IsOpen() const { return m_last_valid == kNone; }

 private:
  static constexpr Ticket kNone = std::numeric_limits<Ticket>::max();

  ReadAheadLimits m_limits;
  std::map<Ticket, size_t> m_in_flight;  // Bytes by ticket.
  size_t m_bytes = 0;
  Ticket m_last_ticket = 0;
  Ticket m_last_valid = kNone;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_TRANSPORT_REQUEST_ORDER_H_
