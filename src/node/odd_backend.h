#ifndef KUMQUATMOOR_SRC_NODE_ODD_BACKEND_H_
#define KUMQUATMOOR_SRC_NODE_ODD_BACKEND_H_

// OddBackend: a backend server for tests, whose responses have the headers of
// TestMeshHeaders(). The last segment of a request's path says what it does:
//
//   limit, leave  names a limit, or says that it leaves
//   crash         ends all connections and is down for kOddDownTime
//   line, head, interim              bytes without end in the head
//   size, extension, chunks, trailer the same in a chunked body
//   body                             the same until the connection ends
//
// Any other request gets a response of two bytes.

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <set>
#include <string>

#include "kumquatmoor/transport/http_server.h"

namespace kumquatmoor {

inline constexpr std::chrono::milliseconds kOddDownTime{200};

class OddBackend {
 public:
  OddBackend(boost::asio::io_context& context, const char* address)
      : m_context(context),
        m_server(context, {.address = address},
                 [this](boost::asio::ip::tcp::socket socket) {
                   return Serve(std::move(socket));
                 }) {
    REQUIRE_FALSE(m_server.Start());
  }

  std::atomic<int> crashes{0};

 private:
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket socket) {
    m_sockets->insert(&socket);
    const auto remove = [sockets =
                             m_sockets](boost::asio::ip::tcp::socket* ended) {
      sockets->erase(ended);
    };
    const std::unique_ptr<boost::asio::ip::tcp::socket, decltype(remove)> entry(
        &socket, remove);
    std::string buffer;
    while (true) {
      const size_t size = co_await boost::asio::async_read_until(
          socket, boost::asio::dynamic_buffer(buffer), "\r\n\r\n",
          boost::asio::use_awaitable);
      const std::string head = buffer.substr(0, size);
      buffer.erase(0, size);
      co_await Respond(socket, head);
    }
  }

  boost::asio::awaitable<void> Respond(boost::asio::ip::tcp::socket& socket,
                                       const std::string& head) {
    const size_t id_at = head.find("\r\nId: ") + 6;
    const std::string id = head.substr(id_at, head.find("\r\n", id_at) - id_at);
    const std::string success = "HTTP/1.1 200 OK\r\nSigned: y\r\nId: " + id;
    const std::string chunked = "\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto has = [&](const char* kind) {
      return head.find(std::string("/") + kind + " ") != std::string::npos;
    };
    std::string first = success + "\r\nContent-Length: 2\r\n\r\nok";
    std::string endless;
    if (has("crash")) {
      co_await Crash();
      co_return;
    }
    if (has("limit"))
      first = success + "\r\nLimit: 5" + first.substr(success.size());
    if (has("leave"))
      first = success + "\r\nLeaving: 1" + first.substr(success.size());
    if (has("line")) first.clear(), endless = "x";
    if (has("head")) first = success, endless = "\r\nA: b";
    if (has("interim"))
      first.clear(), endless = "HTTP/1.1 100 Continue\r\n\r\n";
    if (has("size")) first = success + chunked, endless = "0";
    if (has("extension")) first = success + chunked + "4", endless = ";a=b";
    if (has("chunks")) first = success + chunked, endless = "4\r\nabcd\r\n";
    if (has("body")) first = success + "\r\n\r\n", endless = "x";
    if (has("trailer"))
      first = success + chunked + "0\r\n", endless = "A: b\r\n";
    co_await boost::asio::async_write(socket, boost::asio::buffer(first),
                                      boost::asio::use_awaitable);
    if (endless.empty()) co_return;
    std::string block;
    while (block.size() < 16'384) block += endless;
    while (true) {
      co_await boost::asio::async_write(socket, boost::asio::buffer(block),
                                        boost::asio::use_awaitable);
    }
  }

  boost::asio::awaitable<void> Crash() {
    if (m_down) co_return;
    m_down = true;
    ++crashes;
    m_server.StopAccepting();
    for (boost::asio::ip::tcp::socket* socket : *m_sockets) {
      boost::system::error_code ignored;
      socket->close(ignored);
    }
    boost::asio::co_spawn(m_context, Restart(), boost::asio::detached);
  }
  boost::asio::awaitable<void> Restart() {
    boost::asio::steady_timer timer(m_context);
    timer.expires_after(kOddDownTime);
    co_await timer.async_wait(boost::asio::use_awaitable);
    m_server.Start();
    m_down = false;
  }

  boost::asio::io_context& m_context;
  HttpServer m_server;
  // Outlives this, as the sessions do.
  std::shared_ptr<std::set<boost::asio::ip::tcp::socket*>> m_sockets =
      std::make_shared<std::set<boost::asio::ip::tcp::socket*>>();
  bool m_down = false;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_NODE_ODD_BACKEND_H_
