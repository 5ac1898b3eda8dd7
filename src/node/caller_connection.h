#ifndef KUMQUATMOOR_SRC_NODE_CALLER_CONNECTION_H_
#define KUMQUATMOOR_SRC_NODE_CALLER_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <optional>
#include <set>
#include <utility>

#include "kumquatmoor/node/proxy.h"
#include "kumquatmoor/transport/caller_pipeline.h"
#include "kumquatmoor/transport/exchange.h"

namespace kumquatmoor {

// Shared by the coroutine that reads the requests and those that serve them.
struct Proxy::CallerConnection {
  explicit CallerConnection(boost::asio::ip::tcp::socket socket)
      : stream(std::move(socket)) {}

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  std::shared_ptr<CallerPipeline> pipeline =
      std::make_shared<CallerPipeline>(stream, buffer);
  // Not set while a request is read or served.
  std::optional<TimePoint> idle_since;
  // The request that is read, or served as the only one.
  InboundRequest* inbound = nullptr;
  // The requests that are served beside others.
  std::set<InboundRequest*> in_flight;
  // A complete response closed the connection.
  bool ended_by_response = false;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_NODE_CALLER_CONNECTION_H_
