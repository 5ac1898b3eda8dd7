#ifndef KUMQUATMOOR_TRANSPORT_CALLER_WATCH_H_
#define KUMQUATMOOR_TRANSPORT_CALLER_WATCH_H_

// CallerWatch: notices that a caller has left while its response is made.
//
//   const CallerWatch watch(inbound.Peer(), [&upstream] { upstream.close(); });
//   ... await the response ...
//   if (watch.CallerGone()) ...

#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <memory>
#include <variant>

#include "kumquatmoor/transport/caller_pipeline.h"

namespace kumquatmoor {

// Whose end is watched: nobody's, that of a connection with one request at a
// time, or that of a request among several.
using WatchedPeer =
    std::variant<std::monostate, boost::beast::tcp_stream*, PipelinePlace>;

// Calls `on_gone` at most once, when the caller closes the connection or its
// request is cancelled by an earlier response. For a connection with one
// request at a time, create it only after the request's body has been read
// completely, because the wait must not coincide with a read of the same
// socket; bytes of the next request end the watch without a call of `on_gone`.
class CallerWatch {
 public:
  CallerWatch(WatchedPeer caller, std::function<void()> on_gone);
  CallerWatch(const CallerWatch&) = delete;
  CallerWatch& operator=(const CallerWatch&) = delete;
  ~CallerWatch();

  bool CallerGone() const { return m_state->gone; }

 private:
  WatchedPeer m_caller;
  // Shared with the completion handler, which may run after the destruction.
  std::shared_ptr<CallerWatchState> m_state;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_TRANSPORT_CALLER_WATCH_H_
