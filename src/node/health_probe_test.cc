#include "node/health_probe.h"

#include <catch2/catch.hpp>
#include <memory>

#include "kumquatmoor/transport/http_server.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr char kAddress[] = "127.0.0.1:17391";

// Guards against a cold backend server that is noticed only by its next
// announcement, and against a failed probe that counts as a report.
TEST_CASE("The health check tells when a backend server becomes cold") {
  asio::io_context context(1);
  std::string cold_text = "0";
  unsigned status = 200;
  int connections = 0;
  const auto respond =
      [&](HttpRequest& request,
          asio::ip::tcp::socket&) -> asio::awaitable<HttpResponse> {
    HttpResponse response = MakeResponse(status, "", "text/plain");
    if (request.target() == "/health") response.set("Cold", cold_text);
    co_return response;
  };
  const auto session = MakeBufferedSession({}, respond);
  auto server = std::make_unique<HttpServer>(
      context, HttpServerOptions{.address = kAddress},
      [&](asio::ip::tcp::socket socket) {
        ++connections;
        return session(std::move(socket));
      });
  std::vector<HealthProbe::Report> reports;
  HealthProbe probe(
      context, {.cold_header = "Cold", .interval = milliseconds(10)},
      [] {
        return std::vector<HealthProbe::Target>{
            {.address = kAddress, .path = "/health"}};
      },
      [&](const HealthProbe::Report& report) { reports.push_back(report); });
  const auto run = [&] {
    reports.clear();
    context.restart();
    context.run_for(milliseconds(300));
  };
  probe.Start();
  run();
  REQUIRE_FALSE(reports.empty());
  CHECK_FALSE(reports.back().cold_left);
  REQUIRE_FALSE(server->Start());
  run();
  REQUIRE_FALSE(reports.empty());
  CHECK(reports.back().cold_left == milliseconds(0));
  CHECK(connections == 1);
  cold_text = "2500";
  run();
  REQUIRE_FALSE(reports.empty());
  CHECK(reports.back().cold_left == milliseconds(2'500));
  cold_text = "soon";
  run();
  CHECK((reports.empty() || reports.back().cold_left == milliseconds(2'500)));
  status = 500;
  run();
  CHECK(reports.empty());
}

}  // namespace
}  // namespace kumquatmoor
