#ifndef KUMQUATMOOR_TRANSPORT_UPSTREAM_POOL_H_
#define KUMQUATMOOR_TRANSPORT_UPSTREAM_POOL_H_

// UpstreamPool: idle HTTP connections to nodes and backend servers.
//
//   auto connection = pool.TakeIdle(address, kAnyAge);
//   if (connection == nullptr) connection = pool.MakeNew(address);
//   ...
//   pool.ReturnIdle(std::move(connection));  // Only after a whole answer.
//
// A connection on which anything went wrong is destroyed, never given back.
// One that the other end has closed, or that was idle for too long, is never
// handed out. Used from the io_context's one thread only.

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace kumquatmoor {

struct UpstreamConnection {
  UpstreamConnection(boost::asio::io_context& context, std::string address)
      : address(std::move(address)), stream(context) {}

  std::string address;
  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  std::chrono::steady_clock::time_point idle_since;
  // What the other end said it keeps an idle connection for.
  std::chrono::milliseconds peer_idle_timeout{std::chrono::minutes(1)};
  bool reused = false;
};

class UpstreamPool {
 public:
  // Middleboxes forget idle connections; those older than this are closed.
  static constexpr std::chrono::seconds kMaxIdleAge{5};
  static constexpr size_t kMaxIdlePerAddress = 64;

  explicit UpstreamPool(boost::asio::io_context& context)
      : m_context(context) {}

  // An idle connection not older than `max_age`, or nullptr.
  std::unique_ptr<UpstreamConnection> TakeIdle(
      const std::string& address, std::chrono::milliseconds max_age);
  std::unique_ptr<UpstreamConnection> MakeNew(const std::string& address);
  void ReturnIdle(std::unique_ptr<UpstreamConnection> connection);
  // Closes connections that were idle for too long.
  void CloseExpired();

 private:
  using Idle = std::vector<std::unique_ptr<UpstreamConnection>>;

  boost::asio::io_context& m_context;
  std::map<std::string, Idle> m_idle;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_TRANSPORT_UPSTREAM_POOL_H_
