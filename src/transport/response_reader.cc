// The head is moved out of the parser once it is complete: what the library
// adds to it later are the fields of trailers.

#include "transport/response_reader.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <chrono>
#include <memory>
#include <utility>

#include "transport/body_reader.h"
#include "transport/head_reader.h"
#include "transport/response_checks.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Error = boost::system::error_code;

constexpr HeadBounds kResponseHeadBounds{.bytes = 65'536, .fields = 1'024};
constexpr uint64_t kMaxResponseBodyBytes = 1ULL << 30U;
// Maximum number of late responses to earlier requests, and of interim
// responses, that are discarded before the response to a request.
constexpr int kMaxSkippedResponses = 3;
constexpr unsigned kInterimStatusClass = 1;

// Counts what a response holds. Fails if the budget is spent.
Error Hold(ForwardResult& result, size_t bytes) {
  result.share.Resize(bytes);
  if (result.share.IsSpent()) return asio::error::no_buffer_space;
  return {};
}

// Reads the body until its end or until the buffer is full, or one part of it
// while the budget is scarce. Checks the deadline itself: the timeout of the
// stream does not end reads that never wait.
asio::awaitable<Error> BufferResponseBody(ForwardResult& result,
                                          size_t head_memory,
                                          Deadline deadline) {
  auto& parser = *result.parser;
  while (!parser.is_done() &&
         result.buffered_body.size() < kMaxBufferedResponseBytes) {
    if (!result.buffered_body.empty() && result.share.IsScarce()) break;
    if (std::chrono::steady_clock::now() >= deadline) {
      co_return beast::error::timeout;
    }
    const auto hold = [&] {
      return Hold(result, head_memory + result.buffered_body.capacity() +
                              result.connection->buffer.capacity());
    };
    const Error error = co_await ReadBodyPart(result.connection->stream,
                                              result.connection->buffer, parser,
                                              &result.buffered_body, hold);
    if (error) co_return error;
    const Error spent = hold();
    if (spent) co_return spent;
  }
  result.fully_buffered = parser.is_done();
  co_return Error();
}

// Reads the head of a response and the buffered part of its body. A response to
// a HEAD request has no body.
asio::awaitable<Error> ReadResponse(ForwardResult& result, Deadline deadline,
                                    bool is_head_request) {
  result.parser = std::make_unique<http::response_parser<http::buffer_body>>();
  result.parser->header_limit(kResponseHeadBounds.bytes);
  result.parser->body_limit(kMaxResponseBodyBytes);
  if (is_head_request) result.parser->skip(true);
  size_t head_memory = 0;
  const Error error = co_await ReadHead(
      result.connection->stream, result.connection->buffer, *result.parser,
      kResponseHeadBounds, [&](size_t memory) {
        head_memory = memory;
        return Hold(result, memory);
      });
  if (error) co_return error;
  // What follows is the body. The fields of its trailers are not used.
  result.keep_alive = result.parser->keep_alive();
  result.head = std::move(result.parser->get().base());
  co_return co_await BufferResponseBody(result, head_memory, deadline);
}

// Returns true if the response echoes the id of another request. A response
// without an id does not.
bool IsForOtherRequest(const http::response_header<>& response,
                       const std::string& id_header,
                       const std::string& request_id) {
  auto echoed = response.find(id_header);
  if (echoed == response.end()) return false;
  return echoed->value() != request_id;
}

}  // namespace

asio::awaitable<Error> ReadMatchingResponse(ForwardResult& result,
                                            const ForwardOptions& options,
                                            const std::string& request_id,
                                            bool is_head_request) {
  for (int skipped = 0;; ++skipped) {
    const Error error =
        co_await ReadResponse(result, options.deadline, is_head_request);
    if (error) co_return error;
    const ResponseHead& response = result.head;
    const unsigned status = response.result_int();
    const bool interim = status / 100 == kInterimStatusClass &&
                         response.result() != http::status::switching_protocols;
    if (!interim && !IsFinalStatus(status)) co_return http::error::bad_status;
    const size_t ids = response.count(options.headers->request_id);
    // A head that was cut short and the next one may run together.
    if (ids > 1) co_return http::error::bad_field;
    // May be a copy of an earlier response.
    bool& echoes_ids = result.connection->echoes_ids;
    if (ids == 0 && echoes_ids && !interim) co_return http::error::bad_field;
    if (ContainsOtherHead(response)) co_return http::error::bad_field;
    echoes_ids = echoes_ids || ids > 0;
    if (!interim &&
        !IsForOtherRequest(response, options.headers->request_id, request_id)) {
      co_return Error();
    }
    const bool more = result.fully_buffered && result.keep_alive;
    if (!more || skipped >= kMaxSkippedResponses) {
      co_return http::error::unexpected_body;
    }
    result.buffered_body.clear();
  }
}

}  // namespace kumquatmoor
