#ifndef KUMQUATMOOR_SRC_TRANSPORT_PEER_LOSS_H_
#define KUMQUATMOOR_SRC_TRANSPORT_PEER_LOSS_H_

#include <boost/asio/ip/tcp.hpp>

namespace kumquatmoor {

// Makes the kernel close the connection if the host of the peer is lost.
void EnablePeerLossDetection(boost::asio::ip::tcp::socket& socket);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_TRANSPORT_PEER_LOSS_H_
