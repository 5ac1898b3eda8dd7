#ifndef KUMQUATMOOR_SRC_NODE_CALLER_CONNECTION_H_
#define KUMQUATMOOR_SRC_NODE_CALLER_CONNECTION_H_

#include <boost/beast/core/tcp_stream.hpp>
#include <optional>

#include "kumquatmoor/node/proxy.h"
#include "kumquatmoor/transport/exchange.h"

namespace kumquatmoor {

struct Proxy::CallerConnection {
  boost::beast::tcp_stream stream;
  // Not set while a request is read or served.
  std::optional<TimePoint> idle_since;
  InboundRequest* inbound = nullptr;  // The request that is read or served.
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_NODE_CALLER_CONNECTION_H_
