#ifndef KUMQUATMOOR_TRANSPORT_ENDPOINT_ADDRESS_H_
#define KUMQUATMOOR_TRANSPORT_ENDPOINT_ADDRESS_H_

// Converts addresses such as "127.0.0.1:80" or "[::1]:80" to Asio endpoints.
// All functions are pure and safe to call from any thread.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <optional>
#include <string_view>

namespace kumquatmoor {

// Returns nullopt if `address` is not valid; see IsAddress.
std::optional<boost::asio::ip::tcp::endpoint> TcpEndpoint(
    std::string_view address);
std::optional<boost::asio::ip::udp::endpoint> UdpEndpoint(
    std::string_view address);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_TRANSPORT_ENDPOINT_ADDRESS_H_
