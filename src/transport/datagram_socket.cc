#include "kumquatmoor/transport/datagram_socket.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "kumquatmoor/transport/endpoint_address.h"

namespace kumquatmoor {

DatagramSocket::DatagramSocket(boost::asio::io_context& context,
                               const FaultPlan* faults)
    : m_context(context), m_faults(faults), m_socket(context) {}

boost::system::error_code DatagramSocket::Open(std::string_view address,
                                               Handler handler) {
  m_handler = std::move(handler);
  const auto endpoint = UdpEndpoint(address);
  boost::system::error_code error;
  if (!endpoint) return boost::asio::error::invalid_argument;
  m_socket.open(endpoint->protocol(), error);
  if (error) return error;
  m_socket.bind(*endpoint, error);
  if (error) return error;
  m_socket.non_blocking(true, error);
  if (!error) Receive();
  return error;
}

void DatagramSocket::Receive() {
  m_socket.async_receive_from(
      boost::asio::buffer(m_buffer), m_sender,
      [this](boost::system::error_code error, size_t size) {
        if (error == boost::asio::error::operation_aborted) return;
        if (!m_socket.is_open()) return;
        if (!error) {
          m_bytes_received += size;
          m_handler(std::string_view(m_buffer.data(), size));
        }
        Receive();
      });
}

void DatagramSocket::Send(std::string_view address, std::string_view zone,
                          std::string bytes) {
  const auto endpoint = UdpEndpoint(address);
  if (!endpoint || m_faults->IsCut(address, zone)) return;
  const auto delay = m_faults->Delay(address, zone);
  if (delay.count() == 0) {
    SendNow(*endpoint, bytes);
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
  timer->async_wait([this, timer, to = *endpoint, bytes = std::move(bytes)](
                        boost::system::error_code error) {
    if (!error) SendNow(to, bytes);
  });
}

void DatagramSocket::SendNow(const boost::asio::ip::udp::endpoint& to,
                             const std::string& bytes) {
  boost::system::error_code error;
  m_socket.send_to(boost::asio::buffer(bytes), to, 0, error);
  if (error) return;
  m_bytes_sent += bytes.size();
  ++m_datagrams_sent;
}

void DatagramSocket::Close() {
  boost::system::error_code ignored;
  m_socket.close(ignored);
}

}  // namespace kumquatmoor
