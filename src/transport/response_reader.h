#ifndef KUMQUATMOOR_SRC_TRANSPORT_RESPONSE_READER_H_
#define KUMQUATMOOR_SRC_TRANSPORT_RESPONSE_READER_H_

// Reading the response of an upstream, within the bounds of one message and
// within the budget of all.

#include <boost/asio/awaitable.hpp>
#include <boost/system/error_code.hpp>
#include <string>

#include "kumquatmoor/transport/exchange.h"

namespace kumquatmoor {

// Reads responses until one belongs to the request and is final, its head and
// the buffered part of its body. A late response to an earlier request may
// arrive first on a connection that is reused, and interim responses (1xx) may
// arrive at any time. Sets the members of `result` that describe the response.
boost::asio::awaitable<boost::system::error_code> ReadMatchingResponse(
    ForwardResult& result, const ForwardOptions& options,
    const std::string& request_id, bool is_head_request);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_TRANSPORT_RESPONSE_READER_H_
