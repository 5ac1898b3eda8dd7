#ifndef KUMQUATMOOR_TRANSPORT_ENDPOINT_ADDRESS_H_
#define KUMQUATMOOR_TRANSPORT_ENDPOINT_ADDRESS_H_

// Turns "IP:PORT" into the endpoints of Asio.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <optional>
#include <string_view>

namespace kumquatmoor {

// Nothing if `address` is not "IP:PORT".
std::optional<boost::asio::ip::tcp::endpoint> TcpEndpoint(
    std::string_view address);
std::optional<boost::asio::ip::udp::endpoint> UdpEndpoint(
    std::string_view address);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_TRANSPORT_ENDPOINT_ADDRESS_H_
