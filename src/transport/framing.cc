#include "transport/framing.h"

#include <string>

namespace kumquatmoor {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kInterimStatusClass = 1;
constexpr unsigned kHttp11 = 11;

// Neither a body nor a length may follow these statuses.
bool ExcludesLength(const http::response_header<>& head) {
  return head.result_int() / 100 == kInterimStatusClass ||
         head.result() == http::status::no_content;
}

bool IsBodiless(http::verb method, const http::response_header<>& head) {
  return method == http::verb::head || ExcludesLength(head) ||
         head.result() == http::status::not_modified;
}

}  // namespace

BodyFraming FrameResponse(const FramedRequest& request,
                          std::optional<uint64_t> body_bytes,
                          http::response_header<>* head) {
  head->erase(http::field::transfer_encoding);
  if (IsBodiless(request.method, *head)) {
    if (ExcludesLength(*head)) {
      head->erase(http::field::content_length);
    } else if (body_bytes.value_or(0) > 0) {
      head->set(http::field::content_length, std::to_string(*body_bytes));
    }
    return BodyFraming::kNone;
  }
  head->erase(http::field::content_length);
  if (body_bytes) {
    head->set(http::field::content_length, std::to_string(*body_bytes));
    return BodyFraming::kLength;
  }
  if (request.version >= kHttp11) {
    head->set(http::field::transfer_encoding, "chunked");
    return BodyFraming::kChunked;
  }
  head->set(http::field::connection, "close");
  return BodyFraming::kUntilClose;
}

bool AnnouncesBody(const http::response_header<>& head) {
  const auto length = head.find(http::field::content_length);
  if (length != head.end()) return length->value() != "0";
  return head.count(http::field::transfer_encoding) > 0;
}

}  // namespace kumquatmoor
