#ifndef KUMQUATMOOR_SRC_TRANSPORT_SOCKET_BUFFERS_H_
#define KUMQUATMOOR_SRC_TRANSPORT_SOCKET_BUFFERS_H_

// Bounds what the system holds for a connection: bytes that have arrived while
// no read waits for them, and bytes that its peer does not read. The system
// enlarges the buffers of a connection that was fast up to some MiB otherwise.

#include <boost/asio/socket_base.hpp>
#include <boost/system/error_code.hpp>

namespace kumquatmoor {

// Of each direction. The system reserves up to twice as much.
inline constexpr int kSocketBufferBytes = 131'072;

// Call before the connection is established: the bound is part of what the peer
// is told then. Connections that are accepted inherit it from the acceptor.
template <typename Socket>
void BoundSocketBuffers(Socket& socket) {
  using boost::asio::socket_base;
  boost::system::error_code ignored;
  socket.set_option(socket_base::receive_buffer_size(kSocketBufferBytes),
                    ignored);
  socket.set_option(socket_base::send_buffer_size(kSocketBufferBytes), ignored);
}

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_TRANSPORT_SOCKET_BUFFERS_H_
