#ifndef KUMQUATMOOR_SRC_TRANSPORT_CALLER_BYTES_H_
#define KUMQUATMOOR_SRC_TRANSPORT_CALLER_BYTES_H_

// What has arrived on a caller's connection between two requests.

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <string_view>

namespace kumquatmoor {

inline bool HasBytesToRead(boost::beast::tcp_stream& stream) {
  boost::system::error_code error;
  return stream.socket().available(error) > 0 && !error;
}

// True if the connection has ended and no bytes are left to read.
inline bool HasEnded(boost::beast::tcp_stream& stream) {
  char byte = 0;
  boost::system::error_code error;
  auto& socket = stream.socket();
  socket.non_blocking(true, error);
  if (error) return true;
  socket.receive(boost::asio::buffer(&byte, 1),
                 boost::asio::socket_base::message_peek, error);
  return error && error != boost::asio::error::would_block;
}

inline std::string_view Unread(const boost::beast::flat_buffer& buffer) {
  const auto bytes = buffer.data();
  return {static_cast<const char*>(bytes.data()), bytes.size()};
}

// Empty lines before a request are ignored (RFC 9112, section 2.2): some
// callers write one after the body of the request before.
inline void SkipEmptyLines(boost::beast::flat_buffer& buffer) {
  while (Unread(buffer).starts_with("\r\n")) buffer.consume(2);
}

// True if no byte of a request has arrived, at most half of an empty line.
inline bool IsBlank(const boost::beast::flat_buffer& buffer) {
  return buffer.size() == 0 || Unread(buffer) == "\r";
}

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_TRANSPORT_CALLER_BYTES_H_
