#ifndef KUMQUATMOOR_TRANSPORT_HTTP_SERVER_H_
#define KUMQUATMOOR_TRANSPORT_HTTP_SERVER_H_

// HttpServer accepts TCP connections and runs a coroutine, the session, for
// each.
//
//   HttpServer server(context, {.address = "127.0.0.1:8000"},
//                     MakeBufferedSession({}, handler));
//   if (auto error = server.Start()) ...
//
// A session reads and writes HTTP itself. MakeBufferedSession returns one for
// small requests, such as those of operators, whose bodies are buffered
// completely. Not thread-safe: use it only from the thread that runs the
// io_context, which must have only one.

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
  std::string address;  // "IP:PORT".
  // Further connections are accepted and closed at once.
  size_t max_connections = 4096;
};

class HttpServer {
 public:
  // Serves one connection and returns when it is to be closed. An exception
  // closes the connection.
  using Session =
      std::function<boost::asio::awaitable<void>(boost::asio::ip::tcp::socket)>;

  HttpServer(boost::asio::io_context& context, HttpServerOptions options,
             Session session);

  // Binds to the address and starts accepting connections.
  boost::system::error_code Start();
  // Accepts the connections that are established already, then stops accepting.
  // Running sessions are not affected.
  void StopAccepting();
  // Number of running sessions.
  size_t Connections() const { return m_connections; }

 private:
  boost::asio::awaitable<void> AcceptLoop();
  // Closes the connection at once if there are `max_connections` others.
  void StartSession(boost::asio::ip::tcp::socket socket);
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
// Returns the response to one request. The socket is that of the caller, so
// that a handler that waits can detect that the caller disconnected.
using RequestHandler = std::function<boost::asio::awaitable<HttpResponse>(
    HttpRequest&, boost::asio::ip::tcp::socket&)>;

struct BufferedSessionOptions {
  uint64_t max_body_bytes = 1U << 20U;
  uint32_t max_header_bytes = 16'384;
};

// Returns a session that buffers each request completely and responds with the
// result of `handler`. It supports keep-alive. A request that exceeds a limit
// closes the connection without a response.
HttpServer::Session MakeBufferedSession(BufferedSessionOptions options,
                                        RequestHandler handler);

// Returns an HTTP/1.1 response with this status, body and content type.
HttpResponse MakeResponse(unsigned status, std::string body,
                          std::string_view content_type);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_TRANSPORT_HTTP_SERVER_H_
