#ifndef KUMQUATMOOR_SRC_TRANSPORT_FRAMING_H_
#define KUMQUATMOOR_SRC_TRANSPORT_FRAMING_H_

// Decides where a response ends on the connection of whoever receives it (RFC
// 9112, section 6.3). Every response that this program writes is framed here.
//
//   const BodyFraming framing = FrameResponse(
//       {.method = request.method(), .version = request.version()},
//       body.size(), &response);
//   if (framing == BodyFraming::kNone) body.clear();

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/verb.hpp>
#include <cstdint>
#include <optional>

namespace kumquatmoor {

enum class BodyFraming {
  kNone,        // The response ends with its head.
  kLength,      // Content-Length bytes follow.
  kChunked,     // Chunks follow.
  kUntilClose,  // The body ends with the connection.
};

// The part of a request that the framing of its response depends on.
struct FramedRequest {
  boost::beast::http::verb method = boost::beast::http::verb::get;
  unsigned version = 11;  // 10 for HTTP/1.0.
};

// Sets the header fields of `head` that say where the response ends, and
// removes those that contradict them. `body_bytes` is the size of the body,
// empty if it is not known yet. In a response without a body, the
// Content-Length describes the body that a GET would get: `body_bytes`, or what
// the head has if that is 0. Some statuses exclude it.
BodyFraming FrameResponse(const FramedRequest& request,
                          std::optional<uint64_t> body_bytes,
                          boost::beast::http::response_header<>* head);

// True if the head announces a body, as that of a response to HEAD may.
bool AnnouncesBody(const boost::beast::http::response_header<>& head);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_TRANSPORT_FRAMING_H_
