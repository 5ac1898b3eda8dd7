#include "kumquatmoor/transport/upstream_pool.h"

#include <boost/asio/buffer.hpp>
#include <utility>

#include "transport/body_reader.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;

// Subtracted from the idle timeout of the peer. It covers the time until a
// request arrives there, so that the peer does not close the connection
// meanwhile.
constexpr std::chrono::milliseconds kPeerIdleTimeoutMargin{500};

// Returns true if the peer has neither closed the connection nor sent bytes
// that belong to no request.
bool IsOpenAndIdle(boost::beast::tcp_stream& stream) {
  char byte = 0;
  boost::system::error_code error;
  stream.socket().non_blocking(true, error);
  if (error) return false;
  stream.socket().receive(asio::buffer(&byte, 1),
                          asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

}  // namespace

std::unique_ptr<UpstreamConnection> UpstreamPool::TakeIdle(
    const std::string& address, std::chrono::milliseconds max_age,
    const std::string& request_id) {
  auto found = m_idle.find(address);
  if (found == m_idle.end()) return nullptr;
  const auto now = std::chrono::steady_clock::now();
  IdleConnections& idle = found->second;
  while (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    const bool recent =
        now - connection->idle_since <= max_age &&
        now - connection->idle_since <= kMaxIdleAge &&
        now - connection->idle_since <=
            connection->peer_idle_timeout - kPeerIdleTimeoutMargin;
    const bool refused = connection->refused_ids.count(request_id) > 0;
    if (recent && !refused && IsOpenAndIdle(connection->stream)) {
      connection->reused = true;
      return connection;
    }
  }
  return nullptr;
}

std::unique_ptr<UpstreamConnection> UpstreamPool::MakeNew(
    const std::string& address) {
  auto connection = std::make_unique<UpstreamConnection>(m_context, address);
  connection->buffer.reserve(kIdleBufferBytes);
  return connection;
}

void UpstreamPool::ReturnIdle(std::unique_ptr<UpstreamConnection> connection) {
  if (connection->refused_ids.size() > kMaxRefusedIds) return;
  connection->idle_since = std::chrono::steady_clock::now();
  connection->stream.expires_never();
  ShrinkIdleBuffer(&connection->buffer);
  IdleConnections& idle = m_idle[connection->address];
  if (idle.size() < kMaxIdlePerAddress) idle.push_back(std::move(connection));
}

void UpstreamPool::CloseExpired() {
  const auto now = std::chrono::steady_clock::now();
  for (auto& [address, idle] : m_idle) {
    std::erase_if(idle, [&](const auto& connection) {
      return now - connection->idle_since > kMaxIdleAge;
    });
  }
  std::erase_if(m_idle, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace kumquatmoor
