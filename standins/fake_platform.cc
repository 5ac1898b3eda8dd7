// fake_platform: stands in for the platform's store in tests, the demo and the
// bench. platform/fake_store.h says what it does and which faults it injects.

#include <gflags/gflags.h>

#include <boost/asio/signal_set.hpp>
#include <iostream>

#include "kumquatmoor/transport/http_server.h"
#include "platform/fake_store.h"

DEFINE_string(address, "127.0.0.1:7100", "IP:PORT to listen on.");

int main(int argc, char** argv) {
  gflags::SetUsageMessage("A stand-in for the platform's store.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  boost::asio::io_context context(1);
  kumquatmoor::platform::FakeStore store;
  kumquatmoor::HttpServer server(context, {.address = FLAGS_address},
                                 kumquatmoor::MakeBufferedSession(
                                     {.max_body_bytes = 4U << 20U},
                                     [&](kumquatmoor::HttpRequest& request,
                                         boost::asio::ip::tcp::socket& socket) {
                                       return store.Handle(request, socket);
                                     }));
  if (auto error = server.Start()) {
    std::cerr << FLAGS_address << ": " << error.message() << "\n";
    return 1;
  }
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
  context.run();
  return 0;
}
