#include "transport/peer_loss.h"

#include <netinet/tcp.h>

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;

// TCP_USER_TIMEOUT: a peer that does not acknowledge sent bytes for this time
// counts as lost, because a host that lost power sends no reset. The value
// tolerates two consecutive losses of a packet, which take 600 ms.
constexpr int kUnackedTimeoutMs = 900;
// TCP keep-alive detects the loss of a peer that has acknowledged the request
// but sends no response: the connection counts as lost after this many probes
// without a reply. The first probe is sent after the idle time.
constexpr int kKeepAliveIdleS = 1;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveProbes = 2;

}  // namespace

void EnablePeerLossDetection(asio::ip::tcp::socket& socket) {
  using asio::detail::socket_option::integer;
  boost::system::error_code ignored;
  socket.set_option(integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(kUnackedTimeoutMs),
                    ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(kKeepAliveIdleS),
                    ignored);
  socket.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(kKeepAliveIntervalS),
                    ignored);
  socket.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(kKeepAliveProbes),
                    ignored);
}

}  // namespace kumquatmoor
