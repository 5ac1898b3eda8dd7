#include "transport/body_reader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <catch2/catch.hpp>
#include <string>

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

// Reads a response from a socket, part by part.
class ResponseReader {
 public:
  explicit ResponseReader(const std::string& response) {
    tcp::acceptor acceptor(m_context, {asio::ip::address_v4::loopback(), 0});
    m_stream.socket().connect(acceptor.local_endpoint());
    tcp::socket server = acceptor.accept();
    asio::co_spawn(
        m_context,
        [&]() -> asio::awaitable<void> {
          co_await asio::async_write(server, asio::buffer(response),
                                     asio::use_awaitable);
        },
        asio::detached);
    asio::co_spawn(m_context, Read(), asio::detached);
    m_context.run();
  }

  std::string body;
  int parts = 0;
  size_t largest_read = 0;  // That the buffer has room for.
  beast::flat_buffer buffer{262'144};

 private:
  asio::awaitable<void> Read() {
    buffer.reserve(kIdleBufferBytes);
    http::response_parser<http::buffer_body> parser;
    co_await http::async_read_header(m_stream, buffer, parser,
                                     asio::use_awaitable);
    while (!parser.is_done()) {
      const auto error = co_await ReadBodyPart(m_stream, buffer, parser, &body);
      if (error) co_return;
      ++parts;
      largest_read =
          std::max(largest_read, beast::read_size(buffer, kMaxBodyReadBytes));
    }
  }

  asio::io_context m_context{1};
  beast::tcp_stream m_stream{m_context};
};

std::string Response(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// Guards against responses of 90 KB that are read in 176 system calls on hosts
// with a tenth of a core.
TEST_CASE("A large body is read in large parts") {
  const std::string body(90'000, 'x');
  const ResponseReader reader(Response(body));
  CHECK(reader.body == body);
  CHECK(reader.parts == 2);
  CHECK(reader.largest_read >= 60'000);
}

TEST_CASE("A small body needs no larger buffer") {
  const std::string body(400, 'x');
  const ResponseReader reader(Response(body));
  CHECK(reader.body == body);
  CHECK(reader.parts == 1);
  CHECK(reader.buffer.capacity() <= 2 * kIdleBufferBytes);
}

TEST_CASE("A body in chunks is read to its end") {
  const ResponseReader reader(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  CHECK(reader.body == "abcde");
}

TEST_CASE("A buffer that has grown is released when its connection is idle") {
  ResponseReader reader(Response(std::string(90'000, 'x')));
  REQUIRE(reader.buffer.capacity() >= 60'000);
  ShrinkIdleBuffer(&reader.buffer);
  CHECK(reader.buffer.capacity() <= 2 * kIdleBufferBytes);
}

}  // namespace
}  // namespace kumquatmoor
