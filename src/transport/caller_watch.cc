// A connection with one request at a time is watched by a wait for readability
// of its own. Of a pipelined connection, the pipeline knows the end.

#include "kumquatmoor/transport/caller_watch.h"

#include <boost/asio/ip/tcp.hpp>
#include <utility>

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
using Error = boost::system::error_code;

struct StartWatch {
  const std::shared_ptr<CallerWatchState>& state;

  void operator()(std::monostate /*nobody*/) const {}
  void operator()(boost::beast::tcp_stream* stream) const {
    auto& socket = stream->socket();
    socket.async_wait(asio::ip::tcp::socket::wait_read,
                      [watch = state, &socket](Error error) {
                        if (error || watch->on_gone == nullptr) return;
                        // Readable with bytes is the next request; readable
                        // without bytes is the end of the stream or a failure.
                        Error failed;
                        if (socket.available(failed) > 0 && !failed) return;
                        watch->gone = true;
                        watch->on_gone();
                      });
  }
  void operator()(const PipelinePlace& place) const {
    place.pipeline->Watch(place.ticket, state);
  }
};

}  // namespace

CallerWatch::CallerWatch(WatchedPeer caller, std::function<void()> on_gone)
    : m_caller(std::move(caller)),
      m_state(std::make_shared<CallerWatchState>()) {
  m_state->on_gone = std::move(on_gone);
  std::visit(StartWatch{m_state}, m_caller);
}

CallerWatch::~CallerWatch() {
  m_state->on_gone = nullptr;
  auto* const* stream = std::get_if<boost::beast::tcp_stream*>(&m_caller);
  if (stream == nullptr) return;
  Error ignored;
  (*stream)->socket().cancel(ignored);
}

}  // namespace kumquatmoor
