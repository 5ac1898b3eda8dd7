#include "transport/backend_verdict.h"

namespace kumquatmoor {
namespace {

namespace http = boost::beast::http;

bool IsRefusal(const http::response_header<>& response,
               const CallHeaders& names) {
  const bool misdirected =
      response.result() == http::status::misdirected_request;
  const bool not_run =
      !names.not_run.empty() && response.count(names.not_run) > 0;
  return misdirected || not_run;
}

bool EchoesId(const http::response_header<>& response,
              const std::string& id_header, std::string_view request_id) {
  return response.count(id_header) == 1 && response[id_header] == request_id;
}

}  // namespace

Verdict BackendVerdict(const http::response_header<>& response,
                       const CallHeaders& names, std::string_view request_id) {
  if (!IsRefusal(response, names)) return Verdict::kRan;
  return EchoesId(response, names.request_id, request_id)
             ? Verdict::kNotRun
             : Verdict::kMayHaveRun;
}

}  // namespace kumquatmoor
