// A node that starts while none of its seeds replies.

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <list>
#include <memory>
#include <string>
#include <thread>

#include "control.grpc.pb.h"
#include "kumquatmoor/node/node.h"
#include "kumquatmoor/transport/endpoint_address.h"
#include "node/test_mesh.h"
#include "node/test_store.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

constexpr int kSeeds = 3;
// Within it a configuration has to be in force.
constexpr milliseconds kBound{2'000};

// Accepts requests and never replies.
class SilentSeed : public Control::Service {
 public:
  explicit SilentSeed(const std::string& address) {
    grpc::ServerBuilder builder;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials());
    builder.RegisterService(this);
    m_server = builder.BuildAndStart();
    REQUIRE(m_server != nullptr);
  }
  ~SilentSeed() override {
    m_server->Shutdown(std::chrono::system_clock::now());
  }

  grpc::Status Sync(grpc::ServerContext* context,
                    const SyncRequest* /*request*/,
                    SyncReply* /*reply*/) override {
    return Ignore(context);
  }
  grpc::Status ReportZone(grpc::ServerContext* context,
                          const ZoneReportRequest* /*request*/,
                          ZoneReport* /*reply*/) override {
    return Ignore(context);
  }

  std::atomic<int> requests{0};

 private:
  grpc::Status Ignore(grpc::ServerContext* context) {
    ++requests;
    while (!context->IsCancelled()) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    return grpc::Status::CANCELLED;
  }

  std::unique_ptr<grpc::Server> m_server;
};

// A configuration with one route, "/r" and the revision.
Batch MakeBatch(uint64_t revision) {
  Batch batch;
  batch.set_revision(revision);
  ServiceConfig* service = batch.add_services();
  service->set_service("s");
  Row* row = service->add_rows();
  row->set_version("*");
  row->set_weight(100);
  row->set_from_weight(100);
  HttpRoute* route = batch.add_routes();
  route->set_name("r");
  route->set_host("h");
  route->set_prefix("/r" + std::to_string(revision) + "/");
  route->set_max_attempts(1);
  WeightedService* part = route->add_parts();
  part->set_service("s");
  part->set_weight(1);
  return batch;
}

// Why the node does not serve a request to the target.
std::string Reason(const std::string& address, const std::string& target) {
  asio::io_context context;
  beast::tcp_stream stream(context);
  stream.connect(*TcpEndpoint(address));
  http::request<http::string_body> request(http::verb::get, target, 11);
  request.set(http::field::host, "h");
  request.set("Id", "x");
  http::write(stream, request);
  beast::flat_buffer buffer;
  http::response<http::string_body> response;
  http::read(stream, buffer, response);
  return std::string(response["Kumquatmoor-Reason"]);
}

// Guards against a node that has no configuration, or an old one, as long as it
// waits for seeds that do not reply.
TEST_CASE("Silent seeds keep no node from the configuration", "[silent-seed]") {
  NodeSettings settings;
  settings.id = "n";
  settings.zone = "z";
  settings.caller_address = "127.45.0.1:17500";
  settings.data_address = "127.45.0.1:17501";
  settings.control_address = "127.45.0.1:17502";
  settings.admin_address = "127.45.0.1:17503";
  std::list<SilentSeed> seeds;
  for (int i = 0; i < kSeeds; ++i) {
    settings.seeds.push_back("127.45.0.2:1750" + std::to_string(i));
    seeds.emplace_back(settings.seeds.back());
  }
  TestStore store;
  store.Put(MakeBatch(1));
  StoreSource source(&store, 0);
  EmptyPlatform platform;
  Node node(
      settings,
      {.platform = &platform, .source = &source, .headers = TestMeshHeaders()});
  REQUIRE(node.Start().empty());
  const auto delay_of = [&](uint64_t revision) {
    const auto start = std::chrono::steady_clock::now();
    const std::string target = "/r" + std::to_string(revision) + "/";
    while (Reason(settings.caller_address, target) != "no live target") {
      std::this_thread::sleep_for(milliseconds(5));
    }
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - start);
  };
  CHECK(delay_of(1) < kBound);
  for (uint64_t revision = 2; revision <= 4; ++revision) {
    store.Put(MakeBatch(revision));
    CHECK(delay_of(revision) < kBound);
  }
  for (const auto& seed : seeds) CHECK(seed.requests > 0);
}

}  // namespace
}  // namespace kumquatmoor
