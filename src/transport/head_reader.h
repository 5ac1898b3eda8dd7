#ifndef KUMQUATMOOR_SRC_TRANSPORT_HEAD_READER_H_
#define KUMQUATMOOR_SRC_TRANSPORT_HEAD_READER_H_

// Reading the head of an HTTP message within bounds. Beast consumes complete
// fields as they arrive and applies its limit to the bytes that are left, so
// that it does not bound a head that arrives in parts. A HeadMeter counts what
// was consumed, too.

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <iterator>

#include "transport/body_reader.h"

namespace kumquatmoor {

// Bytes of a head that are read at a time, at most.
inline constexpr size_t kHeadReadBytes = 4'096;

struct HeadBounds {
  size_t bytes = 65'536;  // Of the first line and all fields.
  // A parsed field takes more memory than its bytes do.
  size_t fields = 1'024;
};

class HeadMeter {
 public:
  explicit HeadMeter(HeadBounds bounds) : m_bounds(bounds) {}

  // Parses what `buffer` holds of the head. Fails with header_limit if the head
  // exceeds a bound; a head that is not complete yet is no failure.
  template <typename Parser>
  boost::system::error_code Parse(boost::beast::flat_buffer& buffer,
                                  Parser& parser) {
    namespace http = boost::beast::http;
    const size_t before = buffer.size();
    boost::system::error_code error = ParseBuffered(buffer, parser);
    m_consumed += before - buffer.size();
    if (error == http::error::need_more) error = {};
    if (error) return error;
    const auto& head = parser.get().base();
    m_fields = static_cast<size_t>(std::distance(head.begin(), head.end()));
    const bool is_too_large =
        m_consumed > m_bounds.bytes || m_fields > m_bounds.fields;
    const bool has_no_room = !parser.is_header_done() && Room(buffer) == 0;
    if (is_too_large || has_no_room) return http::error::header_limit;
    return {};
  }

  // Memory that the parsed head takes, about.
  size_t MemoryBytes() const {
    constexpr size_t kFieldOverhead = 112;
    return m_consumed + m_fields * kFieldOverhead;
  }

  // Bytes that the rest of the head may have beyond those in `buffer`.
  size_t Room(const boost::beast::flat_buffer& buffer) const {
    const size_t known = m_consumed + buffer.size();
    return std::min(m_bounds.bytes - std::min(m_bounds.bytes, known),
                    buffer.max_size() - buffer.size());
  }

 private:
  HeadBounds m_bounds;
  size_t m_consumed = 0;
  size_t m_fields = 0;
};

// Reads the head of a message, of which `buffer` may have the first bytes.
// Calls `before_read` with the memory that is taken so far before each read,
// and once at the end; an error that it returns ends the read. Leaves what
// follows the head in `buffer`. Fails with header_limit if the head exceeds
// `bounds`, with end_of_stream if the connection ends before its first byte,
// and with partial_message if it ends within.
template <typename Parser, typename Callback>
boost::asio::awaitable<boost::system::error_code> ReadHead(
    boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
    Parser& parser, HeadBounds bounds, Callback before_read) {
  namespace http = boost::beast::http;
  HeadMeter meter(bounds);
  boost::system::error_code error;
  if (buffer.size() > 0) error = meter.Parse(buffer, parser);
  while (!error && !parser.is_header_done()) {
    const size_t room = std::min(
        meter.Room(buffer), boost::beast::read_size(buffer, kHeadReadBytes));
    error = before_read(meter.MemoryBytes() + buffer.capacity());
    if (error) co_return error;
    const size_t size = co_await stream.async_read_some(
        buffer.prepare(room),
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
    buffer.commit(size);
    if (error == boost::asio::error::eof) {
      co_return parser.got_some() ? http::error::partial_message
                                  : http::error::end_of_stream;
    }
    if (!error) error = meter.Parse(buffer, parser);
  }
  if (!error) error = before_read(meter.MemoryBytes() + buffer.capacity());
  co_return error;
}

template <typename Parser>
boost::asio::awaitable<boost::system::error_code> ReadHead(
    boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
    Parser& parser, HeadBounds bounds) {
  co_return co_await ReadHead(
      stream, buffer, parser, bounds,
      [](size_t /*memory*/) { return boost::system::error_code(); });
}

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_TRANSPORT_HEAD_READER_H_
