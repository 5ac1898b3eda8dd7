// forwarder: a minimal HTTP forwarder, the baseline for the latency and CPU
// cost of a node in `make bench`. It reads each request completely and
// forwards it over an upstream connection of its own for each caller
// connection. It has no routing, retries, limits or timeouts.

#include <gflags/gflags.h>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <iostream>

#include "kumquatmoor/transport/endpoint_address.h"
#include "kumquatmoor/transport/http_server.h"

DEFINE_string(address, "127.0.0.1:7200", "IP:PORT to listen on.");
DEFINE_string(upstream, "127.0.0.1:8000", "IP:PORT to forward to.");

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

// Forwards the requests of one caller connection until either side closes its
// connection: the error of the failed read or write ends the coroutine.
asio::awaitable<void> ForwardConnection(asio::ip::tcp::socket socket,
                                        asio::ip::tcp::endpoint upstream) {
  beast::tcp_stream caller(std::move(socket));
  beast::tcp_stream server(co_await asio::this_coro::executor);
  co_await server.async_connect(upstream, asio::use_awaitable);
  server.socket().set_option(asio::ip::tcp::no_delay(true));
  beast::flat_buffer from_caller;
  beast::flat_buffer from_server;
  while (true) {
    http::request<http::string_body> request;
    co_await http::async_read(caller, from_caller, request,
                              asio::use_awaitable);
    co_await http::async_write(server, request, asio::use_awaitable);
    http::response<http::string_body> response;
    co_await http::async_read(server, from_server, response,
                              asio::use_awaitable);
    co_await http::async_write(caller, response, asio::use_awaitable);
  }
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const auto upstream = kumquatmoor::TcpEndpoint(FLAGS_upstream);
  if (!upstream) {
    std::cerr << "forwarder: --upstream is not IP:PORT\n";
    return 2;
  }
  asio::io_context context(1);
  kumquatmoor::HttpServer server(
      context, {.address = FLAGS_address}, [&](asio::ip::tcp::socket socket) {
        return ForwardConnection(std::move(socket), *upstream);
      });
  if (auto error = server.Start()) {
    std::cerr << FLAGS_address << ": " << error.message() << "\n";
    return 1;
  }
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
  context.run();
  return 0;
}
