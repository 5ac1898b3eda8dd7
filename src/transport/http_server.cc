#include "kumquatmoor/transport/http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <memory>
#include <utility>

#include "kumquatmoor/transport/endpoint_address.h"
#include "transport/body_reader.h"
#include "transport/framing.h"
#include "transport/head_reader.h"
#include "transport/socket_buffers.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

// Delay after a failed accept, such as for lack of file descriptors.
constexpr std::chrono::milliseconds kAcceptBackoff{20};
// For the head of the next request, including the idle time before it.
constexpr std::chrono::seconds kIdleTimeout{60};
// Bytes of a request that are buffered without being parsed.
constexpr size_t kMaxUnparsedRequestBytes = 61'440;
// For the body of a request, and again for writing the response.
constexpr std::chrono::seconds kRequestTimeout{30};

}  // namespace

HttpServer::HttpServer(asio::io_context& context, HttpServerOptions options,
                       Session session)
    : m_context(context),
      m_options(std::move(options)),
      m_session(std::move(session)),
      m_acceptor(context) {}

boost::system::error_code HttpServer::Start() {
  const auto endpoint = TcpEndpoint(m_options.address);
  if (!endpoint) return asio::error::invalid_argument;
  boost::system::error_code error;
  m_acceptor.open(endpoint->protocol(), error);
  if (error) return error;
  m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (error) return error;
  m_acceptor.bind(*endpoint, error);
  if (error) return error;
  BoundSocketBuffers(m_acceptor);
  m_acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) return error;
  asio::co_spawn(m_context, AcceptLoop(), asio::detached);
  return {};
}

void HttpServer::StopAccepting() {
  // The kernel resets connections that were established but not accepted.
  boost::system::error_code error;
  m_acceptor.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(m_context);
    m_acceptor.accept(socket, error);
    if (!error) StartSession(std::move(socket));
  }
  m_acceptor.close(error);
}

asio::awaitable<void> HttpServer::AcceptLoop() {
  asio::steady_timer backoff(m_context);
  while (m_acceptor.is_open()) {
    boost::system::error_code error;
    tcp::socket socket = co_await m_acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) co_return;
    if (error) {
      backoff.expires_after(kAcceptBackoff);
      co_await backoff.async_wait(asio::use_awaitable);
      continue;
    }
    StartSession(std::move(socket));
  }
}

void HttpServer::StartSession(tcp::socket socket) {
  if (m_connections >= m_options.max_connections) return;
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  asio::co_spawn(m_context, RunSession(std::move(socket)), asio::detached);
}

asio::awaitable<void> HttpServer::RunSession(tcp::socket socket) {
  ++m_connections;
  try {
    co_await m_session(std::move(socket));
  } catch (const std::exception&) {
    // The connection failed. Closing it is the only possible reaction.
  }
  --m_connections;
}

HttpServer::Session MakeBufferedSession(BufferedSessionOptions options,
                                        RequestHandler handler) {
  auto shared = std::make_shared<RequestHandler>(std::move(handler));
  return [options, shared](tcp::socket socket) -> asio::awaitable<void> {
    // Copied into the coroutine frame: the lambda object may be destroyed after
    // the first suspension.
    const BufferedSessionOptions limits = options;
    std::shared_ptr<RequestHandler> handle;
    handle = shared;
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer(kMaxUnparsedRequestBytes);
    bool keep_alive = true;
    while (keep_alive) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(limits.max_body_bytes);
      parser.header_limit(limits.max_header_bytes);
      stream.expires_after(kIdleTimeout);
      const HeadBounds bounds{.bytes = limits.max_header_bytes};
      if (co_await ReadHead(stream, buffer, parser, bounds)) co_return;
      stream.expires_after(kRequestTimeout);
      if (co_await ReadBody(stream, buffer, parser)) co_return;
      stream.expires_never();
      HttpRequest request = parser.release();
      HttpResponse response = co_await (*handle)(request, stream.socket());
      keep_alive = request.keep_alive() && response.keep_alive();
      response.keep_alive(keep_alive);
      const BodyFraming framing = FrameResponse(
          {.method = request.method(), .version = request.version()},
          response.body().size(), &response.base());
      if (framing == BodyFraming::kNone) response.body().clear();
      stream.expires_after(kRequestTimeout);
      co_await http::async_write(stream, response, asio::use_awaitable);
    }
    boost::system::error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  };
}

HttpResponse MakeResponse(unsigned status, std::string body,
                          std::string_view content_type) {
  HttpResponse response;
  response.result(status);
  response.version(11);
  response.set(http::field::content_type, content_type);
  response.body() = std::move(body);
  response.prepare_payload();
  return response;
}

}  // namespace kumquatmoor
