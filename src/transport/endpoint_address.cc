#include "kumquatmoor/transport/endpoint_address.h"

#include <charconv>
#include <string>

#include "kumquatmoor/protocol/json_reader.h"

namespace kumquatmoor {
namespace {

template <typename Endpoint>
std::optional<Endpoint> Parse(std::string_view address) {
  if (!IsAddress(address)) return std::nullopt;
  const size_t colon = address.rfind(':');
  std::string_view host = address.substr(0, colon);
  if (host.front() == '[') host = host.substr(1, host.size() - 2);
  const std::string_view digits = address.substr(colon + 1);
  uint16_t port = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), port);
  return Endpoint(boost::asio::ip::make_address(std::string(host)), port);
}

}  // namespace

std::optional<boost::asio::ip::tcp::endpoint> TcpEndpoint(
    std::string_view address) {
  return Parse<boost::asio::ip::tcp::endpoint>(address);
}

std::optional<boost::asio::ip::udp::endpoint> UdpEndpoint(
    std::string_view address) {
  return Parse<boost::asio::ip::udp::endpoint>(address);
}

}  // namespace kumquatmoor
