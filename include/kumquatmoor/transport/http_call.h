#ifndef KUMQUATMOOR_TRANSPORT_HTTP_CALL_H_
#define KUMQUATMOOR_TRANSPORT_HTTP_CALL_H_

// HttpCall: one blocking HTTP request with a timeout, for threads that have
// nothing else to do.
//
//   auto answer = HttpCall({.address = "127.0.0.1:7100", .target = "/v1/get",
//                           .body = text, .timeout = 2s});
//
// Fails with kUnavailable if the request was not sent, and with kUnknown if it
// was and no whole answer came. Thread-safe.

#include <chrono>
#include <string>

#include "kumquatmoor/protocol/failure.h"

namespace kumquatmoor {

struct HttpCallOptions {
  std::string address;  // "IP:PORT".
  std::string method = "POST";
  std::string target = "/";
  std::string body;
  std::chrono::milliseconds timeout{2'000};
};

struct HttpCallResponse {
  unsigned status = 0;
  std::string body;
};

Result<HttpCallResponse> HttpCall(const HttpCallOptions& options);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_TRANSPORT_HTTP_CALL_H_
