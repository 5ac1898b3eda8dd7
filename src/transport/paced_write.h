#ifndef KUMQUATMOOR_SRC_TRANSPORT_PACED_WRITE_H_
#define KUMQUATMOOR_SRC_TRANSPORT_PACED_WRITE_H_

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <cstddef>

#include "kumquatmoor/transport/link_pacer.h"

namespace kumquatmoor {

// The size of the parts in which a message is sent over a paced link. A short
// message waits for at most one part of a long one.
inline constexpr size_t kLinkPartBytes = 16'384;

// Describes the message that a serializer holds.
struct PacedMessage {
  size_t body_bytes = 0;  // Of the body that the serializer holds now.
  // Of the body to be sent in total, now and later.
  size_t body_left = 0;
  LinkPart::TimePoint deadline = LinkPart::TimePoint::max();
  LinkPart::TimePoint ready = std::chrono::steady_clock::now();
  size_t* sent_bytes = nullptr;  // As in RelayOptions.
  // Of a response: the caller. Nobody needs the rest once it has left.
  WatchedPeer peer = {};
};

// Writes what `serializer` holds, part by part as `pacer` permits; at once if
// `pacer` is null or disabled. Fails with timed_out if the deadline passes, or
// the peer of a response disconnects, while a part waits. Like
// http::async_write, fails with need_buffer when a buffer_body needs its next
// buffer.
template <typename Serializer>
boost::asio::awaitable<boost::system::error_code> WritePaced(
    boost::beast::tcp_stream& stream, Serializer& serializer,
    PacedMessage message, LinkPacer* pacer) {
  namespace asio = boost::asio;
  namespace http = boost::beast::http;
  boost::system::error_code error;
  if (pacer == nullptr || !pacer->IsEnabled()) {
    co_await http::async_write(
        stream, serializer, asio::redirect_error(asio::use_awaitable, error));
    co_return error;
  }
  size_t granted = 0;
  while (!serializer.is_done()) {
    if (granted == 0 && message.body_bytes > 0) {
      granted = std::min(message.body_bytes, kLinkPartBytes);
      const LinkPart part{.bytes = granted,
                          .message_left = message.body_left,
                          .message_ready = message.ready,
                          .deadline = message.deadline};
      const bool may_send = co_await pacer->Await(part, message.peer);
      if (!may_send) co_return asio::error::timed_out;
    }
    serializer.limit(granted > 0 ? granted : kLinkPartBytes);
    const size_t written = co_await http::async_write_some(
        stream, serializer, asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return error;
    // The head is not part of the body and was not granted.
    if (written > granted) pacer->Charge(written - granted);
    if (message.sent_bytes != nullptr) *message.sent_bytes += written;
    granted -= std::min(granted, written);
    message.body_bytes -= std::min(message.body_bytes, written);
    message.body_left -= std::min(message.body_left, written);
  }
  co_return error;
}

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_TRANSPORT_PACED_WRITE_H_
