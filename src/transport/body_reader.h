#ifndef KUMQUATMOOR_SRC_TRANSPORT_BODY_READER_H_
#define KUMQUATMOOR_SRC_TRANSPORT_BODY_READER_H_

// Reading the body of an HTTP message in few system calls. Beast reads as much
// as the connection's buffer has room for, 512 bytes if it has none, and never
// enlarges a buffer whose bytes are parsed at once.

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <stdexcept>
#include <string>

namespace kumquatmoor {

// Bytes of a body that are read at a time, at most.
inline constexpr size_t kMaxBodyReadBytes = 65'536;
// The same if the length of the body is not known.
inline constexpr size_t kBodyReadBytes = 16'384;
// Capacity of a connection's buffer between messages: enough for the head and
// body of a small one.
inline constexpr size_t kIdleBufferBytes = 2'048;

// How much of the rest of the body to read next.
template <typename Parser>
size_t NextBodyReadBytes(const Parser& parser) {
  const auto left = parser.content_length_remaining();
  if (!left) return kBodyReadBytes;
  return static_cast<size_t>(std::clamp<uint64_t>(*left, 1, kMaxBodyReadBytes));
}

// Passes buffered bytes to the parser. The library throws if a header field or
// a trailer is larger than it can store, whatever the limit of the head is. In
// an asynchronous read of the library, that would end the process.
template <typename Parser>
boost::system::error_code ParseBuffered(boost::beast::flat_buffer& buffer,
                                        Parser& parser) {
  boost::system::error_code error;
  try {
    buffer.consume(parser.put(buffer.data(), error));
  } catch (const std::length_error&) {
    error = boost::beast::http::error::header_limit;
  }
  return error;
}

// Reads more bytes of a message into the buffer. Tells the parser if the
// connection has ended.
template <typename Parser>
boost::asio::awaitable<boost::system::error_code> ReadMore(
    boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
    Parser& parser) {
  boost::system::error_code error;
  const size_t room = boost::beast::read_size(buffer, kMaxBodyReadBytes);
  if (room == 0) co_return boost::beast::http::error::buffer_overflow;
  const size_t size = co_await stream.async_read_some(
      buffer.prepare(room),
      boost::asio::redirect_error(boost::asio::use_awaitable, error));
  buffer.commit(size);
  if (error == boost::asio::error::eof) {
    error = {};
    parser.put_eof(error);
  }
  co_return error;
}

// Reads until the message is complete or the parser's body is full. Calls
// `before_read` before each read; an error that it returns ends the read.
template <typename Parser, typename Callback>
boost::asio::awaitable<boost::system::error_code> ReadBody(
    boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
    Parser& parser, Callback before_read) {
  parser.eager(true);
  boost::system::error_code error;
  while (!error && !parser.is_done()) {
    if (buffer.size() > 0) error = ParseBuffered(buffer, parser);
    const bool needs_more =
        error == boost::beast::http::error::need_more || buffer.size() == 0;
    if (error == boost::beast::http::error::need_more) error = {};
    if (needs_more && !error && !parser.is_done()) {
      error = before_read();
      if (!error) error = co_await ReadMore(stream, buffer, parser);
    }
  }
  co_return error;
}

template <typename Parser>
boost::asio::awaitable<boost::system::error_code> ReadBody(
    boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
    Parser& parser) {
  co_return co_await ReadBody(stream, buffer, parser,
                              [] { return boost::system::error_code(); });
}

// Makes the next read take up to `bytes`.
inline void ReserveForRead(size_t bytes, boost::beast::flat_buffer* buffer) {
  if (buffer->size() >= bytes) return;
  buffer->reserve(std::min(bytes, buffer->max_size()));
}

// Reads the next part of the body and appends it to `body`. `parser` has a
// buffer_body. `before_read` is that of ReadBody.
template <typename Parser, typename Callback>
boost::asio::awaitable<boost::system::error_code> ReadBodyPart(
    boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
    Parser& parser, std::string* body, Callback before_read) {
  const size_t start = body->size();
  const size_t room = NextBodyReadBytes(parser);
  ReserveForRead(room, &buffer);
  body->resize(start + room);
  parser.get().body().data = body->data() + start;
  parser.get().body().size = room;
  boost::system::error_code error =
      co_await ReadBody(stream, buffer, parser, before_read);
  body->resize(start + room - parser.get().body().size);
  if (error == boost::beast::http::error::need_buffer) error = {};
  co_return error;
}

template <typename Parser>
boost::asio::awaitable<boost::system::error_code> ReadBodyPart(
    boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
    Parser& parser, std::string* body) {
  co_return co_await ReadBodyPart(stream, buffer, parser, body,
                                  [] { return boost::system::error_code(); });
}

// Releases the memory of a buffer that has grown for a large body.
inline void ShrinkIdleBuffer(boost::beast::flat_buffer* buffer) {
  if (buffer->size() > 0 || buffer->capacity() <= 2 * kIdleBufferBytes) return;
  buffer->shrink_to_fit();
  buffer->reserve(kIdleBufferBytes);
}

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_TRANSPORT_BODY_READER_H_
