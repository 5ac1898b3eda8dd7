#include "transport/response_checks.h"

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

}  // namespace

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
