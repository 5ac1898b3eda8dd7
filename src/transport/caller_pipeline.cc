// All waits end by the same timer, which is cancelled at each change; each
// coroutine then checks its own condition. There are at most 17 of them: the
// reader and the requests in flight.
//
// While the reader has nothing to read, a wait for readability detects the end
// of the connection. Bytes that arrive are taken at once, so that an empty line
// behind a request is not mistaken for the next one.

#include "kumquatmoor/transport/caller_pipeline.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "transport/caller_bytes.h"
#include "transport/head_reader.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
using Error = boost::system::error_code;

void NotifyGone(CallerWatchState& watch) {
  if (watch.gone || watch.on_gone == nullptr) return;
  watch.gone = true;
  watch.on_gone();
}

}  // namespace

CallerPipeline::CallerPipeline(boost::beast::tcp_stream& stream,
                               boost::beast::flat_buffer& buffer)
    : m_stream(stream),
      m_buffer(buffer),
      m_change(stream.get_executor(), asio::steady_timer::time_point::max()) {}

asio::awaitable<void> CallerPipeline::AwaitChange() {
  Error cancelled;
  co_await m_change.async_wait(
      asio::redirect_error(asio::use_awaitable, cancelled));
}

asio::awaitable<bool> CallerPipeline::AwaitNext(
    size_t max_bytes, std::function<bool()> may_read_ahead) {
  while (m_order.IsOpen() && !m_order.IsEmpty()) {
    const bool may_read = m_order.HasRoom(max_bytes) && may_read_ahead();
    if (may_read && HasNextRequest()) break;
    StartWatch();
    co_await AwaitChange();
  }
  m_wait_is_wanted = false;
  co_return m_order.IsOpen();
}

asio::awaitable<bool> CallerPipeline::AwaitIdle() {
  while (!m_order.IsEmpty()) {
    if (m_order.IsOpen()) StartWatch();
    co_await AwaitChange();
  }
  m_wait_is_wanted = false;
  co_return m_order.IsOpen();
}

bool CallerPipeline::HasNextRequest() {
  SkipEmptyLines(m_buffer);
  while (IsBlank(m_buffer) && HasBytesToRead(m_stream)) {
    Error error;
    const size_t size =
        m_stream.socket().read_some(m_buffer.prepare(kHeadReadBytes), error);
    m_buffer.commit(size);
    if (error) break;
    SkipEmptyLines(m_buffer);
  }
  return !IsBlank(m_buffer);
}

void CallerPipeline::StartWatch() {
  // With bytes that may not be read yet, the wait would end at once.
  if (HasBytesToRead(m_stream)) return;
  m_wait_is_wanted = true;
  if (m_wait_is_pending) return;
  m_wait_is_pending = true;
  m_stream.socket().async_wait(asio::ip::tcp::socket::wait_read,
                               [weak = weak_from_this()](const Error& error) {
                                 const auto pipeline = weak.lock();
                                 if (pipeline == nullptr) return;
                                 pipeline->m_wait_is_pending = false;
                                 if (!error && pipeline->m_wait_is_wanted)
                                   pipeline->OnReadable();
                               });
}

void CallerPipeline::OnReadable() {
  // The bytes that made it readable may have been read since.
  if (HasEnded(m_stream)) return Close();
  m_change.cancel();
}

void CallerPipeline::Remove(Ticket ticket) {
  m_order.Remove(ticket);
  m_change.cancel();
}

asio::awaitable<bool> CallerPipeline::AwaitTurn(Ticket ticket) {
  while (!m_order.IsCancelled(ticket) && !m_order.IsFirst(ticket)) {
    co_await AwaitChange();
  }
  co_return !m_order.IsCancelled(ticket);
}

void CallerPipeline::CloseAfter(Ticket ticket) {
  m_order.CancelAfter(ticket);
  const auto watches = m_watches;
  for (const auto& [watched, weak] : watches) {
    const auto watch = weak.lock();
    if (watch != nullptr && m_order.IsCancelled(watched)) NotifyGone(*watch);
  }
  m_change.cancel();
}

void CallerPipeline::CloseAndStopReading() {
  Close();
  Error ignored;
  m_stream.socket().cancel(ignored);
}

void CallerPipeline::Watch(Ticket ticket,
                           const std::shared_ptr<CallerWatchState>& watch) {
  std::erase_if(m_watches,
                [](const auto& entry) { return entry.second.expired(); });
  m_watches.emplace_back(ticket, watch);
  if (!m_order.IsCancelled(ticket)) return;
  // The constructor of the watch runs.
  asio::post(m_change.get_executor(), [watch] { NotifyGone(*watch); });
}

}  // namespace kumquatmoor
