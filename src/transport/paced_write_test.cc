// Responses that wait for a full link, to peers over loopback.

#include "transport/paced_write.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr double kLinkRate = 1'250'000;  // 10 Mbit/s, in bytes per second.
constexpr size_t kBodyBytes = 90'000;

// A link that other traffic uses for the next second.
class FullLink {
 public:
  FullLink() : m_pacer(m_context, kLinkRate), m_peer(m_context) {
    tcp::acceptor acceptor(m_context,
                           {asio::ip::make_address("127.40.0.1"), 0});
    m_peer.connect(acceptor.local_endpoint());
    m_stream.emplace(acceptor.accept());
    m_pacer.Charge(static_cast<size_t>(kLinkRate));
    asio::co_spawn(m_context, Write(), asio::detached);
  }

  void RunFor(milliseconds time) { m_context.run_for(time); }
  void ClosePeer() { m_peer.close(); }
  // The peer sends its next request before it has the response.
  void SendFromPeer() {
    asio::write(m_peer, asio::buffer(std::string("GET /x HTTP/1.1\r\n\r\n")));
  }

  std::optional<boost::system::error_code> outcome;
  size_t sent_bytes = 0;

 private:
  asio::awaitable<void> Write() {
    http::response<http::string_body> response(http::status::ok, 11);
    response.body() = std::string(kBodyBytes, 'x');
    response.prepare_payload();
    http::response_serializer<http::string_body> serializer(response);
    const PacedMessage message{.body_bytes = kBodyBytes,
                               .body_left = kBodyBytes,
                               .sent_bytes = &sent_bytes,
                               .peer = &*m_stream};
    outcome = co_await WritePaced(*m_stream, serializer, message, &m_pacer);
  }

  asio::io_context m_context{1};
  LinkPacer m_pacer;
  tcp::socket m_peer;
  std::optional<boost::beast::tcp_stream> m_stream;
};

// Guards against responses that keep their place on the link, and then use it,
// although their callers have left.
TEST_CASE("A response ends at once when its peer leaves") {
  FullLink link;
  link.RunFor(milliseconds(50));
  REQUIRE_FALSE(link.outcome);
  link.ClosePeer();
  link.RunFor(milliseconds(50));
  REQUIRE(link.outcome);
  CHECK(*link.outcome);
  CHECK(link.sent_bytes == 0);
}

TEST_CASE("A response is sent to a peer that has sent its next request") {
  FullLink link;
  link.RunFor(milliseconds(50));
  link.SendFromPeer();
  link.RunFor(milliseconds(50));
  REQUIRE_FALSE(link.outcome);
  link.RunFor(milliseconds(2'000));
  REQUIRE(link.outcome);
  CHECK_FALSE(*link.outcome);
  CHECK(link.sent_bytes > kBodyBytes);
}

}  // namespace
}  // namespace kumquatmoor
