// ControlClient against a gRPC server behind a relay with a limited rate.

#include "kumquatmoor/coordination/control_client.h"

#include <grpcpp/grpcpp.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <thread>
#include <utility>

#include "control.grpc.pb.h"
#include "kumquatmoor/transport/endpoint_address.h"
#include "kumquatmoor/transport/http_server.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr char kServerAddress[] = "127.41.0.1:8400";
constexpr char kRelayAddress[] = "127.41.0.1:8401";
constexpr size_t kBatchBytes = 700'000;
constexpr size_t kRelayBytesPerSecond = 800'000;

// Replies with a batch of kBatchBytes.
class LargeBatchService : public Control::Service {
 public:
  grpc::Status Sync(grpc::ServerContext* /*context*/,
                    const SyncRequest* /*request*/, SyncReply* reply) override {
    reply->mutable_batch()->set_revision(1);
    reply->mutable_batch()->set_author(std::string(kBatchBytes, 'x'));
    return grpc::Status::OK;
  }
};

// Copies bytes at the rate of the relay until an end of the connection closes.
asio::awaitable<void> Copy(std::shared_ptr<tcp::socket> from,
                           std::shared_ptr<tcp::socket> to) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  std::array<char, 8'192> buffer{};
  try {
    while (true) {
      const size_t size = co_await from->async_read_some(asio::buffer(buffer),
                                                         asio::use_awaitable);
      timer.expires_after(
          std::chrono::microseconds(size * 1'000'000 / kRelayBytesPerSecond));
      co_await timer.async_wait(asio::use_awaitable);
      co_await asio::async_write(*to, asio::buffer(buffer, size),
                                 asio::use_awaitable);
    }
  } catch (const boost::system::system_error&) {
    boost::system::error_code ignored;
    to->close(ignored);
  }
}

asio::awaitable<void> Relay(tcp::socket socket) {
  const auto executor = co_await asio::this_coro::executor;
  auto client = std::make_shared<tcp::socket>(std::move(socket));
  auto server = std::make_shared<tcp::socket>(executor);
  co_await server->async_connect(*TcpEndpoint(kServerAddress),
                                 asio::use_awaitable);
  asio::co_spawn(executor, Copy(client, server), asio::detached);
  co_await Copy(server, client);
}

class SlowPeer {
 public:
  SlowPeer() : m_relay(m_context, {.address = kRelayAddress}, Relay) {
    grpc::ServerBuilder builder;
    builder.AddListeningPort(kServerAddress, grpc::InsecureServerCredentials());
    builder.RegisterService(&m_service);
    m_server = builder.BuildAndStart();
    REQUIRE_FALSE(m_relay.Start());
    m_thread = std::thread([this] { m_context.run(); });
  }
  ~SlowPeer() {
    m_context.stop();
    m_thread.join();
    m_server->Shutdown();
  }

 private:
  LargeBatchService m_service;
  std::unique_ptr<grpc::Server> m_server;
  asio::io_context m_context{1};
  HttpServer m_relay;
  std::thread m_thread;
};

// Guards against a configuration that a node never gets from other nodes, since
// its transfer takes longer than the timeout (incident inc26-config).
TEST_CASE("A synchronisation allows for the size of the newer batch") {
  const SlowPeer peer;
  ControlClient client(nullptr);
  const auto outcome = Attempt([&] {
    return client.Sync(
        {.address = kRelayAddress, .expected_bytes = kBatchBytes}, {});
  });
  REQUIRE(std::holds_alternative<SyncReply>(outcome));
  CHECK(std::get<SyncReply>(outcome).batch().author().size() == kBatchBytes);
}

TEST_CASE("A synchronisation with a peer that does not accept ends soon") {
  ControlClient client(nullptr);
  const auto started = std::chrono::steady_clock::now();
  const auto outcome = Attempt([&] {
    return client.Sync(
        {.address = "127.41.0.1:8402", .expected_bytes = 100 * kBatchBytes},
        {});
  });
  CHECK(std::holds_alternative<Failure>(outcome));
  CHECK(std::chrono::steady_clock::now() - started < milliseconds(1'000));
}

}  // namespace
}  // namespace kumquatmoor
