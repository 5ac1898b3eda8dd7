#ifndef KUMQUATMOOR_TRANSPORT_DATAGRAM_SOCKET_H_
#define KUMQUATMOOR_TRANSPORT_DATAGRAM_SOCKET_H_

// DatagramSocket sends and receives UDP datagrams on an io_context.
//
//   DatagramSocket socket(context, &faults);
//   auto error = socket.Open("127.0.1.1:7002", [](std::string_view bytes) {
//     ...
//   });
//   socket.Send("127.0.1.2:7002", "zone-a", bytes);
//
// Delivery is best effort: a datagram that cannot be sent is dropped without an
// error, as the network may drop it too. Not thread-safe: use it only from the
// thread that runs the io_context, which must have only one.

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "kumquatmoor/transport/fault_plan.h"

namespace kumquatmoor {

class DatagramSocket {
 public:
  // Is called with the content of each datagram, which is valid only during the
  // call.
  using Handler = std::function<void(std::string_view)>;

  // Keeps pointers to `context` and `faults`, which must outlive the socket.
  DatagramSocket(boost::asio::io_context& context, const FaultPlan* faults);

  // Binds to `address` ("IP:PORT") and starts receiving.
  boost::system::error_code Open(std::string_view address, Handler handler);
  // Sends a datagram to `address` ("IP:PORT"). `zone` is the availability zone
  // of the receiver; injected faults match it.
  void Send(std::string_view address, std::string_view zone, std::string bytes);
  void Close();

  // Payload bytes and datagrams since the socket was created. Datagrams that
  // were dropped before they were sent are not counted.
  uint64_t BytesSent() const { return m_bytes_sent; }
  uint64_t BytesReceived() const { return m_bytes_received; }
  uint64_t DatagramsSent() const { return m_datagrams_sent; }

 private:
  static constexpr size_t kMaxDatagramBytes = 65'536;

  void Receive();
  void SendNow(const boost::asio::ip::udp::endpoint& to,
               const std::string& bytes);

  boost::asio::io_context& m_context;
  const FaultPlan* m_faults;
  boost::asio::ip::udp::socket m_socket;
  boost::asio::ip::udp::endpoint m_sender;
  std::array<char, kMaxDatagramBytes> m_buffer{};
  Handler m_handler;
  uint64_t m_bytes_sent = 0;
  uint64_t m_bytes_received = 0;
  uint64_t m_datagrams_sent = 0;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_TRANSPORT_DATAGRAM_SOCKET_H_
