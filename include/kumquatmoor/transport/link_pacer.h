#ifndef KUMQUATMOOR_TRANSPORT_LINK_PACER_H_
#define KUMQUATMOOR_TRANSPORT_LINK_PACER_H_

// LinkPacer makes the writers of one io_context share the host's outgoing link
// by the decisions of a LinkScheduler.
//
//   LinkPacer pacer(context, link_rate);
//   if (!co_await pacer.Await({.bytes = n, .message_left = left})) ...
//   ... write n bytes ...
//
// Not thread-safe: use it only from the thread that runs the io_context, which
// must have only one.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>

#include "kumquatmoor/transport/caller_watch.h"
#include "kumquatmoor/transport/link_scheduler.h"

namespace kumquatmoor {

class LinkPacer {
 public:
  // `link_rate` is in bytes per second; 0: unknown, nothing ever waits.
  LinkPacer(boost::asio::io_context& context, double link_rate);

  bool IsEnabled() const { return m_scheduler.has_value(); }
  // Waits until `part` may be sent. Returns false if its deadline passes before
  // that, or if `peer`, the caller that it is for, leaves.
  boost::asio::awaitable<bool> Await(LinkPart part, WatchedPeer peer = {});
  // Counts bytes that are sent without waiting.
  void Charge(size_t bytes);

 private:
  struct Waiter {
    explicit Waiter(boost::asio::io_context& context) : granted(context) {}
    boost::asio::steady_timer granted;  // Cancelled when the part may be sent.
    bool may_send = false;
  };

  void Abandon(uint64_t ticket);
  void GrantDue();
  void StartTimer();

  boost::asio::io_context& m_context;
  std::optional<LinkScheduler> m_scheduler;
  std::map<uint64_t, std::shared_ptr<Waiter>> m_waiters;  // By ticket.
  boost::asio::steady_timer m_timer;                      // Next grant.
  bool m_timer_started = false;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_TRANSPORT_LINK_PACER_H_
