#ifndef KUMQUATMOOR_TRANSPORT_UPSTREAM_POOL_H_
#define KUMQUATMOOR_TRANSPORT_UPSTREAM_POOL_H_

// UpstreamPool is a pool of idle keep-alive connections to nodes and backend
// servers.
//
//   auto connection = pool.TakeIdle(address, max_age, request_id);
//   if (connection == nullptr) connection = pool.MakeNew(address);
//   ...
//   pool.ReturnIdle(std::move(connection));
//
// The user of the pool owns a connection until it returns it. Only a connection
// whose last response was read completely may be returned; after any error the
// user destroys it. The pool never hands out a connection that the peer has
// closed or that was idle for too long. Not thread-safe: use it only from the
// thread that runs the io_context, which must have only one.

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace kumquatmoor {

// Maximum number of bytes of a connection that are buffered without being
// parsed. Bounds the parts of a message that have no limit of their own, such
// as chunk extensions and trailers. Exceeds the largest head.
inline constexpr size_t kMaxUnparsedBytes = 262'144;

struct UpstreamConnection {
  UpstreamConnection(boost::asio::io_context& context, std::string address)
      : address(std::move(address)), stream(context) {}

  std::string address;
  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer{kMaxUnparsedBytes};
  std::chrono::steady_clock::time_point idle_since;
  // Time after which the peer closes an idle connection, as announced in its
  // Keep-Alive header; one minute if the peer sends none.
  std::chrono::milliseconds peer_idle_timeout{std::chrono::minutes(1)};
  bool reused = false;  // The connection has carried a request before.
  // The peer has echoed an id, so that a response without one is not valid.
  bool echoes_ids = false;
  // Ids of the requests that the peer has refused on this connection. The peer
  // may write a refusal twice, and the id cannot tell the second one from the
  // answer to the same request.
  std::set<std::string> refused_ids;
};

class UpstreamPool {
 public:
  // Connections that were idle for longer are closed, because middleboxes such
  // as firewalls drop the state of idle connections.
  static constexpr std::chrono::seconds kMaxIdleAge{5};
  static constexpr size_t kMaxIdlePerAddress = 64;
  // Connections on which more requests were refused are closed.
  static constexpr size_t kMaxRefusedIds = 64;

  explicit UpstreamPool(boost::asio::io_context& context)
      : m_context(context) {}

  // Returns a connection that has been idle for at most `max_age`, preferably
  // the one that was used last, or nullptr if there is none. The peer has not
  // refused the request `request_id` on it.
  std::unique_ptr<UpstreamConnection> TakeIdle(
      const std::string& address, std::chrono::milliseconds max_age,
      const std::string& request_id);
  // Creates a connection that is not connected yet.
  std::unique_ptr<UpstreamConnection> MakeNew(const std::string& address);
  // Makes the connection available to TakeIdle. Closes it instead if there are
  // already kMaxIdlePerAddress idle connections to its address, or if it has
  // more than kMaxRefusedIds refused ids.
  void ReturnIdle(std::unique_ptr<UpstreamConnection> connection);
  // Closes the connections that were idle for longer than kMaxIdleAge. To be
  // called periodically.
  void CloseExpired();

 private:
  using IdleConnections = std::vector<std::unique_ptr<UpstreamConnection>>;

  boost::asio::io_context& m_context;
  std::map<std::string, IdleConnections> m_idle;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_TRANSPORT_UPSTREAM_POOL_H_
