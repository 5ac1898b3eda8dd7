#include "transport/response_checks.h"

#include <algorithm>

namespace kumquatmoor {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kSuccessClass = 2;
constexpr unsigned kRedirectionClass = 3;
constexpr unsigned kCallerErrorClass = 4;

bool IsRefusal(const ResponseHead& response, const CallHeaders& names) {
  const bool misdirected =
      response.result() == http::status::misdirected_request;
  const bool not_run =
      !names.not_run.empty() && response.count(names.not_run) > 0;
  return misdirected || not_run;
}

bool EchoesId(const ResponseHead& response, const std::string& id_header,
              std::string_view request_id) {
  return response.count(id_header) == 1 && response[id_header] == request_id;
}

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

// True if `text` begins with a digit and a status, as in "1 200 OK".
bool BeginsWithStatus(std::string_view text) {
  constexpr size_t kSize = 5;
  return text.size() >= kSize && IsDigit(text[0]) && text[1] == ' ' &&
         IsDigit(text[2]) && IsDigit(text[3]) && IsDigit(text[4]) &&
         (text.size() == kSize || text[kSize] == ' ');
}

bool ContainsStatusLine(boost::beast::string_view value) {
  constexpr std::string_view kProtocol = "HTTP/1.";
  std::string_view text(value.data(), value.size());
  for (size_t at = text.find(kProtocol); at != std::string_view::npos;
       at = text.find(kProtocol)) {
    text.remove_prefix(at + kProtocol.size());
    if (BeginsWithStatus(text)) return true;
  }
  return false;
}

}  // namespace

bool IsFinalStatus(unsigned status) {
  constexpr unsigned kFirst = 200;
  constexpr unsigned kLast = 599;
  return status >= kFirst && status <= kLast;
}

bool ContainsOtherHead(const ResponseHead& response) {
  return ContainsStatusLine(response.reason()) ||
         std::any_of(response.begin(), response.end(), [](const auto& field) {
           return ContainsStatusLine(field.value());
         });
}

std::string_view ResponseViolation(const ResponseHead& response,
                                   const CallHeaders& names) {
  if (response.count(http::field::content_encoding) > 0) {
    return "answer with an encoding that was not asked for";
  }
  if (names.signature.empty() || response.count(names.signature) > 0) return {};
  const unsigned status_class = response.result_int() / 100;
  if (status_class == kSuccessClass) {
    return "successful answer without a signature";
  }
  const bool denies =
      status_class == kRedirectionClass || status_class == kCallerErrorClass;
  if (denies && !IsRefusal(response, names)) {
    return "denial without a signature";
  }
  return {};
}

Verdict BackendVerdict(const ResponseHead& response, const CallHeaders& names,
                       std::string_view request_id) {
  if (!IsRefusal(response, names)) return Verdict::kRan;
  return EchoesId(response, names.request_id, request_id)
             ? Verdict::kNotRun
             : Verdict::kMayHaveRun;
}

}  // namespace kumquatmoor
