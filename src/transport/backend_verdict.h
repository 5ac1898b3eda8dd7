#ifndef KUMQUATMOOR_SRC_TRANSPORT_BACKEND_VERDICT_H_
#define KUMQUATMOOR_SRC_TRANSPORT_BACKEND_VERDICT_H_

// What a backend server's response states about the execution of a request.

#include <boost/beast/http/message.hpp>
#include <string_view>

#include "kumquatmoor/protocol/headers.h"
#include "kumquatmoor/protocol/verdict.h"

namespace kumquatmoor {

// 421 (Misdirected Request) and the deployment's not-run header state that the
// request was not executed: kNotRun. A refusal that does not echo exactly the
// id of the request may be a late copy of the refusal of an earlier request:
// kMayHaveRun. Any other response: kRan.
Verdict BackendVerdict(const boost::beast::http::response_header<>& response,
                       const CallHeaders& names, std::string_view request_id);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_TRANSPORT_BACKEND_VERDICT_H_
