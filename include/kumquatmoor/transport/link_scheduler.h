#ifndef KUMQUATMOOR_TRANSPORT_LINK_SCHEDULER_H_
#define KUMQUATMOOR_TRANSPORT_LINK_SCHEDULER_H_

// LinkScheduler decides when parts of messages may be sent over a link of known
// rate, so that the queue of the link stays short: traffic that is not
// scheduled, such as probes and configuration updates, passes it at once.
//
//   LinkScheduler scheduler({.rate = 1'250'000});
//   if (!scheduler.TakeNow(bytes, now)) {
//     const uint64_t ticket = scheduler.Enqueue({.bytes = bytes, ...});
//     ...
//     for (const LinkGrant& grant : scheduler.Grant(now)) ...
//   }
//
// Does no I/O and reads no clock. Not thread-safe.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace kumquatmoor {

struct LinkSchedulerOptions {
  double rate = 0;  // Of the link, bytes per second.
  // Fraction of the rate that is left to traffic that is not scheduled.
  double reserved_fraction = 0.1;

  // Of scheduled traffic, bytes per second.
  double UsableRate() const { return rate * (1 - reserved_fraction); }
};

// A part of a message that waits to be sent.
struct LinkPart {
  using TimePoint = std::chrono::steady_clock::time_point;

  size_t bytes = 0;
  size_t message_left = 0;  // Bytes of the message, this part included.
  TimePoint message_ready;  // When the message could first be sent.
  // The part is not sent after this time, when nobody waits for it any more.
  TimePoint deadline = TimePoint::max();
};

struct LinkGrant {
  uint64_t ticket = 0;
  bool expired = false;  // The deadline has passed: do not send the part.
};

class LinkScheduler {
 public:
  using TimePoint = LinkPart::TimePoint;

  explicit LinkScheduler(LinkSchedulerOptions options);

  // Returns true if a part of `bytes` may be sent at once: no other part waits
  // and the link is idle enough.
  bool TakeNow(size_t bytes, TimePoint now);
  // Counts bytes that were sent without asking. They delay the parts that wait.
  void Charge(size_t bytes, TimePoint now);
  // Messages with fewer bytes left are short.
  static constexpr size_t kShortMessageBytes = 16'384;

  // Adds a part to the queue and returns its ticket. Parts of short messages go
  // first, those with fewer bytes left before others. Long messages are sent
  // one after another, in the order in which they were ready, so that none
  // waits for later ones.
  uint64_t Enqueue(const LinkPart& part);
  // Removes from the queue the parts that may be sent now, in this order, and
  // those whose deadline has passed.
  std::vector<LinkGrant> Grant(TimePoint now);
  // Removes a part that is not to be sent any more. Does nothing if it does not
  // wait.
  void Remove(uint64_t ticket);
  // The earliest time at which Grant() may return a part; nothing if no part
  // waits.
  std::optional<TimePoint> NextGrant(TimePoint now);

 private:
  struct Waiting {
    bool is_long;
    TimePoint long_ready;  // Of a long message.
    size_t short_left;     // Of a short message.
    uint64_t ticket;
    size_t bytes;
    TimePoint deadline;
    auto operator<=>(const Waiting&) const = default;
  };

  void Refill(TimePoint now);

  double m_rate;    // Bytes per second for scheduled traffic.
  double m_burst;   // Bytes that may be sent at once after a pause.
  double m_tokens;  // Negative after a part or a charge that exceeded them.
  TimePoint m_refilled;
  uint64_t m_last_ticket = 0;
  std::set<Waiting> m_waiting;  // In the order of sending.
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_TRANSPORT_LINK_SCHEDULER_H_
