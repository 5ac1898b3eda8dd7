#ifndef KUMQUATMOOR_SRC_TRANSPORT_RESPONSE_CHECKS_H_
#define KUMQUATMOOR_SRC_TRANSPORT_RESPONSE_CHECKS_H_

// What the head of a backend server's response says: whether it is a response
// of that server at all, and whether the request was executed.
//
//   if (!ResponseViolation(head, names).empty()) ...  // Not its response.
//   const Verdict verdict = BackendVerdict(head, names, request_id);

#include <boost/beast/http/message.hpp>
#include <string_view>

#include "kumquatmoor/protocol/headers.h"
#include "kumquatmoor/protocol/verdict.h"

namespace kumquatmoor {

using ResponseHead = boost::beast::http::response_header<>;

// True for the statuses of final responses: 200 to 599 (RFC 9110, section 15).
// The HTTP library accepts any three digits. A 101 switches to a protocol that
// no request asks for.
bool IsFinalStatus(unsigned status);

// Returns why a backend server's response is invalid, or an empty text if it is
// valid. If the deployment has a signature, a response needs it to be a
// success, or to state that the request is wrong (3xx and 4xx): callers accept
// both as final. Refusals are not signed.
std::string_view ResponseViolation(const ResponseHead& response,
                                   const CallHeaders& names);

// True if the text of the status line or a header field contains a status line:
// a head that was cut short and the next one have run together.
bool ContainsOtherHead(const ResponseHead& response);

// 421 (Misdirected Request) and the deployment's not-run header state that the
// request was not executed: kNotRun. A refusal that does not echo exactly the
// id of the request may be a late copy of the refusal of an earlier request:
// kMayHaveRun. Any other response: kRan.
Verdict BackendVerdict(const ResponseHead& response, const CallHeaders& names,
                       std::string_view request_id);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_TRANSPORT_RESPONSE_CHECKS_H_
