// Runs the asynchronous operations of Beast on an io_context of its own,
// because the synchronous ones have no timeout.

#include "kumquatmoor/transport/http_call.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <exception>
#include <optional>

#include "kumquatmoor/transport/endpoint_address.h"
#include "kumquatmoor/transport/upstream_pool.h"
#include "transport/body_reader.h"
#include "transport/head_reader.h"
#include "transport/response_checks.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

struct CallState {
  bool sent = false;  // Part of the request may have been sent.
  HttpCallResponse response;
};

constexpr HeadBounds kResponseHeadBounds{.bytes = 65'536, .fields = 1'024};

void ThrowIfFailed(const boost::system::error_code& error) {
  if (error) throw boost::system::system_error(error);
}

// Expires when the call makes no progress for its timeout, or at its end.
class ProgressTimer {
 public:
  explicit ProgressTimer(const HttpCallOptions& options)
      : m_timeout(options.timeout),
        m_end(std::chrono::steady_clock::now() + options.max_duration) {}

  // Call before each operation on the stream.
  void Restart(beast::tcp_stream* stream) const {
    stream->expires_at(
        std::min(m_end, std::chrono::steady_clock::now() + m_timeout));
  }

 private:
  std::chrono::milliseconds m_timeout;
  std::chrono::steady_clock::time_point m_end;
};

asio::awaitable<void> SendRequest(const HttpCallOptions& options,
                                  const ProgressTimer& timer,
                                  beast::tcp_stream* stream) {
  http::request<http::string_body> request;
  request.method(http::string_to_verb(options.method));
  request.target(options.target);
  request.version(11);
  request.set(http::field::host, options.address);
  request.set(http::field::content_type, "application/json");
  request.keep_alive(false);
  request.body() = options.body;
  request.prepare_payload();
  http::request_serializer<http::string_body> serializer(request);
  while (!serializer.is_done()) {
    timer.Restart(stream);
    co_await http::async_write_some(*stream, serializer, asio::use_awaitable);
  }
}

asio::awaitable<HttpCallResponse> ReadResponse(const ProgressTimer& timer,
                                               beast::tcp_stream* stream) {
  beast::flat_buffer buffer(kMaxUnparsedBytes);
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxCallResponseBytes);
  parser.header_limit(kResponseHeadBounds.bytes);
  std::optional<std::chrono::steady_clock::time_point> begun;
  size_t reads = 0;
  const auto count_read = [&] {
    if (reads > 0 && !begun) begun = std::chrono::steady_clock::now();
    ++reads;
    timer.Restart(stream);
    return boost::system::error_code();
  };
  ThrowIfFailed(co_await ReadHead(*stream, buffer, parser, kResponseHeadBounds,
                                  [&](size_t /*memory*/) {
                                    if (!parser.is_header_done()) count_read();
                                    return boost::system::error_code();
                                  }));
  if (!IsFinalStatus(parser.get().result_int())) {
    ThrowIfFailed(http::error::bad_status);
  }
  http::fields headers = parser.get().base();
  if (!begun) begun = std::chrono::steady_clock::now();
  if (!parser.is_done()) {
    ReserveForRead(NextBodyReadBytes(parser), &buffer);
    ThrowIfFailed(co_await ReadBody(*stream, buffer, parser, count_read));
  }
  co_return HttpCallResponse{
      .status = parser.get().result_int(),
      .headers = std::move(headers),
      .body = std::move(parser.get().body()),
      .transfer = std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::steady_clock::now() - *begun),
      .reads = reads};
}

asio::awaitable<void> RunCall(const HttpCallOptions& options,
                              asio::ip::tcp::endpoint endpoint,
                              CallState* state) {
  const ProgressTimer timer(options);
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  timer.Restart(&stream);
  co_await stream.async_connect(endpoint, asio::use_awaitable);
  state->sent = true;
  co_await SendRequest(options, timer, &stream);
  state->response = co_await ReadResponse(timer, &stream);
}

FailureCode CodeOf(const boost::system::error_code& error, bool sent) {
  if (error == http::error::body_limit) return FailureCode::kTooLarge;
  return sent ? FailureCode::kUnknown : FailureCode::kUnavailable;
}

}  // namespace

Result<HttpCallResponse> HttpCall(const HttpCallOptions& options) {
  const auto endpoint = TcpEndpoint(options.address);
  if (!endpoint) {
    return Fail(FailureCode::kInvalid, options.address + " is not IP:PORT");
  }
  asio::io_context context(1);
  CallState state;
  std::exception_ptr error;
  asio::co_spawn(context, RunCall(options, *endpoint, &state),
                 [&](std::exception_ptr caught) { error = std::move(caught); });
  context.run();
  if (error == nullptr) return std::move(state.response);
  try {
    std::rethrow_exception(error);
  } catch (const boost::system::system_error& caught) {
    return Fail(
        CodeOf(caught.code(), state.sent),
        options.address + options.target + ": " + caught.code().message());
  }
}

}  // namespace kumquatmoor
