#ifndef KUMQUATMOOR_TRANSPORT_HTTP_SERVER_H_
#define KUMQUATMOOR_TRANSPORT_HTTP_SERVER_H_

// HttpServer: accepts connections and runs a coroutine for each.
//
//   HttpServer server(context, {.address = "127.0.0.1:8000"}, session);
//   if (auto error = server.Start()) ...
//
// MakeBufferedSession is a session for small requests that are held whole, such
// as those of operators. Used from the io_context's one thread only.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <string>

namespace kumquatmoor {

struct HttpServerOptions {
  std::string address;            // "IP:PORT".
  size_t max_connections = 4096;  // Further ones are closed at once.
};

class HttpServer {
 public:
  using Session =
      std::function<boost::asio::awaitable<void>(boost::asio::ip::tcp::socket)>;

  HttpServer(boost::asio::io_context& context, HttpServerOptions options,
             Session session);

  boost::system::error_code Start();
  // Accepts no more connections; sessions go on.
  void StopAccepting();
  size_t Connections() const { return m_connections; }

 private:
  boost::asio::awaitable<void> AcceptLoop();
  boost::asio::awaitable<void> RunSession(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context& m_context;
  HttpServerOptions m_options;
  Session m_session;
  boost::asio::ip::tcp::acceptor m_acceptor;
  size_t m_connections = 0;
};

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;
// Answers one request. The socket tells whether the caller is still there.
using RequestHandler = std::function<boost::asio::awaitable<HttpResponse>(
    HttpRequest&, boost::asio::ip::tcp::socket&)>;

struct BufferedSessionOptions {
  uint64_t max_body_bytes = 1U << 20U;
  uint32_t max_header_bytes = 16'384;
};

// A session that reads requests whole and answers each with `handler`.
HttpServer::Session MakeBufferedSession(BufferedSessionOptions options,
                                        RequestHandler handler);

// A response with a status, a body and its content type.
HttpResponse MakeResponse(unsigned status, std::string body,
                          std::string_view content_type);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_TRANSPORT_HTTP_SERVER_H_
