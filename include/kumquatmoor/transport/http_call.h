#ifndef KUMQUATMOOR_TRANSPORT_HTTP_CALL_H_
#define KUMQUATMOOR_TRANSPORT_HTTP_CALL_H_

// HttpCall sends one HTTP request and blocks until the response is complete. It
// is meant for threads that may block, not for those that run an io_context.
//
//   Result<HttpCallResponse> response =
//       HttpCall({.address = "127.0.0.1:7100", .target = "/v1/get",
//                 .body = text, .timeout = std::chrono::seconds(2)});
//
// Thread-safe.

#include <boost/beast/http/fields.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "kumquatmoor/protocol/failure.h"

namespace kumquatmoor {

// A response of the platform contains one value of up to 1 MB as a quoted
// string, in which escapes make it longer.
inline constexpr uint64_t kMaxCallResponseBytes = 8U << 20U;

struct HttpCallOptions {
  std::string address;  // "IP:PORT".
  std::string method = "POST";
  std::string target = "/";
  std::string body;  // Sent as application/json.
  // Longest time without progress: until the connection is established, until
  // the response begins, and between two parts of the request or response. A
  // large response on a slow link thus arrives, while a lost peer is detected
  // as fast as on a small one.
  std::chrono::milliseconds timeout{2'000};
  // Longest duration of the whole call, so that a peer that sends one byte now
  // and then does not block the thread forever.
  std::chrono::milliseconds max_duration{10'000};
};

struct HttpCallResponse {
  unsigned status = 0;
  boost::beast::http::fields headers;
  std::string body;
  // From the first part of the response until its end.
  std::chrono::milliseconds transfer{0};
  size_t reads = 0;  // System calls that returned a part of the response.
};

// Opens a connection of its own, which is closed after the response. A response
// with an error status is not a failure. Fails with
// - kInvalid if the address is invalid;
// - kUnavailable if the request was not sent;
// - kTooLarge if the body of the response exceeds kMaxCallResponseBytes;
// - kUnknown if it was sent but no complete response was received, so that it
//   may have taken effect.
Result<HttpCallResponse> HttpCall(const HttpCallOptions& options);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_TRANSPORT_HTTP_CALL_H_
