#include "node/test_mesh.h"

#include <spdlog/fmt/fmt.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <set>
#include <stdexcept>
#include <utility>

#include "kumquatmoor/transport/endpoint_address.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr char kVersion[] = "v1";
constexpr char kZone[] = "z";
constexpr char kRouteHost[] = "h";
constexpr uint32_t kMaxAttempts = 3;
constexpr std::chrono::milliseconds kGossipDelay{50};
constexpr int64_t kUnixMs = 1'000'000'000;  // Time of day of every crash.

// A completion token that stores the error instead of throwing it.
auto Into(beast::error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

}  // namespace

CallHeaders TestMeshHeaders() {
  return {.request_id = "Id",
          .deadline_ms = "Left",
          .expected_instance = "Expect",
          .caller_service = "From",
          .call_id_separator = ".",
          .not_run = "Not-Run",
          .backend_limit = "Limit",
          .backend_leaving = "Leaving",
          .signature = "Signed",
          .server_load = "Server-Load"};
}

TestMesh::~TestMesh() { m_context.stop(); }

void TestMesh::AddHost(HostOptions options) {
  auto host = std::make_unique<Host>();
  host->options = std::move(options);
  host->name = fmt::format("n{}", m_hosts.size());
  host->backend_address = NewAddress();
  m_hosts.push_back(std::move(host));
}

std::string TestMesh::NewAddress() {
  return fmt::format("127.0.0.1:{}", m_next_port++);
}

std::shared_ptr<const RouteTable> TestMesh::Routes() const {
  Batch batch;
  batch.set_revision(1);
  std::map<std::string, std::chrono::milliseconds> services;
  std::vector<MemberRecord> members;
  for (const auto& host : m_hosts) {
    services[host->options.service] = host->options.objective;
    MemberRecord& member = members.emplace_back();
    member.set_id(host->name);
    member.set_zone(kZone);
    member.set_data_address(host->data_address);
    Endpoint* endpoint = member.add_endpoints();
    endpoint->set_service(host->options.service);
    endpoint->set_version(kVersion);
    endpoint->set_slots(host->options.slots);
  }
  for (const auto& [name, objective] : services) {
    ServiceConfig* service = batch.add_services();
    service->set_service(name);
    Row* row = service->add_rows();
    row->set_version("*");
    row->set_weight(100);
    row->set_from_weight(100);
    for (const std::string& route_name :
         {name, name + "/other", name + "/write"}) {
      HttpRoute* route = batch.add_routes();
      route->set_name(route_name);
      route->set_host(kRouteHost);
      route->set_prefix("/" + route_name + "/");
      if (route_name.ends_with("/write")) route->set_kind(NON_IDEMPOTENT);
      route->set_max_attempts(kMaxAttempts);
      route->set_objective_ms(static_cast<uint32_t>(objective.count()));
      WeightedService* part = route->add_parts();
      part->set_service(name);
      part->set_weight(1);
    }
  }
  return BuildRoutes(batch, {}, members, kZone);
}

void TestMesh::StartNode(Host& host) {
  host.caller_address = NewAddress();
  host.data_address = NewAddress();
  ProxyOptions options = host.options.proxy;
  options.id = host.name;
  options.zone = kZone;
  options.caller_address = host.caller_address;
  options.data_address = host.data_address;
  options.service = host.options.service;
  options.headers = TestMeshHeaders();
  options.admission.waiting_per_slot = 16;
  host.proxy =
      std::make_unique<Proxy>(m_context, options, nullptr, &m_outcomes);
  if (const auto error = host.proxy->Start()) {
    throw std::runtime_error(error.message());
  }
  host.proxy->SetCrashHandlers(
      [this](const BackendCrash& crash) {
        ChangeCrashes([crash](CrashSuspects& crashes) {
          crashes.AddCrash(crash, kUnixMs);
        });
      },
      [this](const std::string& key, const std::string& service,
             const std::string& version) {
        ChangeCrashes([=](CrashSuspects& crashes) {
          crashes.AddResponse(key, service, version);
        });
      });
  host.proxy->SetCrashes(std::make_shared<const CrashSuspects>(m_crashes));
  Announce(host);
}

void TestMesh::ChangeCrashes(std::function<void(CrashSuspects&)> change) {
  auto timer = std::make_shared<asio::steady_timer>(m_context);
  timer->expires_after(kGossipDelay);
  timer->async_wait([this, timer, change = std::move(change)](
                        const beast::error_code& /*error*/) {
    change(m_crashes);
    const auto crashes = std::make_shared<const CrashSuspects>(m_crashes);
    for (const auto& host : m_hosts) host->proxy->SetCrashes(crashes);
  });
}

void TestMesh::Announce(Host& host) {
  host.proxy->SetBackends(
      {{.service = host.options.service,
        .version = kVersion,
        .instance = fmt::format("i-{}-{}", host.name, host.crashes),
        .address = host.backend_address,
        .slots = host.options.slots}});
}

void TestMesh::CrashBackend(size_t host, std::chrono::milliseconds down_time) {
  Host& crashed = *m_hosts[host];
  if (crashed.is_down) return;
  crashed.is_down = true;
  ++crashed.crashes;
  crashed.backend->StopAccepting();
  for (auto* socket : crashed.running) {
    beast::error_code ignored;
    socket->close(ignored);
  }
  asio::co_spawn(m_context, RestartBackend(crashed, down_time), asio::detached);
}

asio::awaitable<void> TestMesh::RestartBackend(
    Host& host, std::chrono::milliseconds down_time) {
  asio::steady_timer timer(m_context);
  timer.expires_after(down_time);
  co_await timer.async_wait(asio::use_awaitable);
  if (const auto error = host.backend->Start()) {
    throw std::runtime_error(error.message());
  }
  host.is_down = false;
  Announce(host);
}

void TestMesh::Start() {
  for (size_t i = 0; i < m_hosts.size(); ++i) {
    Host& host = *m_hosts[i];
    host.backend = std::make_unique<HttpServer>(
        m_context, HttpServerOptions{.address = host.backend_address},
        MakeBufferedSession(
            {}, [this, i](HttpRequest& request, asio::ip::tcp::socket& socket) {
              return RunScript(i, request, socket);
            }));
    if (const auto error = host.backend->Start()) {
      throw std::runtime_error(error.message());
    }
    StartNode(host);
  }
  PublishRoutes();
}

void TestMesh::PublishRoutes() {
  const auto routes = Routes();
  for (const auto& host : m_hosts) host->proxy->SetRoutes(routes);
}

void TestMesh::RestartNode(size_t host) {
  Host& restarted = *m_hosts[host];
  m_idle.erase(host);
  m_replaced.push_back(std::move(restarted.proxy));
  StartNode(restarted);
  PublishRoutes();
}

void TestMesh::Run(std::function<asio::awaitable<void>()> main) {
  std::exception_ptr failure;
  asio::co_spawn(m_context, std::move(main),
                 [&](const std::exception_ptr& error) {
                   failure = error;
                   m_context.stop();
                 });
  m_context.restart();
  m_context.run();
  if (failure) std::rethrow_exception(failure);
}

asio::awaitable<HttpResponse> TestMesh::RunScript(
    size_t host, const HttpRequest& request, asio::ip::tcp::socket& socket) {
  Host& backend = *m_hosts[host];
  // A connection that was idle during the crash.
  if (backend.is_down) throw std::runtime_error("the backend server is down");
  const std::string& service = backend.options.service;
  m_arrivals.push_back({.host = host,
                        .service = service,
                        .target = std::string(request.target()),
                        .id = std::string(request["Id"]),
                        .at = Clock::now()});
  const auto remove = [&backend](asio::ip::tcp::socket* ended) {
    backend.running.erase(ended);
  };
  const std::unique_ptr<asio::ip::tcp::socket, decltype(remove)> running(
      &socket, remove);
  backend.running.insert(&socket);
  const uint32_t crashes = backend.crashes;
  HttpResponse response = co_await m_scripts.at(service)(host, request);
  if (backend.crashes != crashes) throw std::runtime_error("crashed");
  co_return response;
}

HttpResponse TestMesh::Response(const HttpRequest& request, unsigned status) {
  HttpResponse response = MakeResponse(status, "", "text/plain");
  response.set("Id", request["Id"]);
  response.set("Signed", "yes");
  return response;
}

asio::awaitable<HttpResponse> TestMesh::Call(CallOptions options) {
  auto& idle = m_idle[options.host];
  std::unique_ptr<Connection> connection;
  beast::error_code error;
  HttpResponse response;
  response.result(0);
  if (idle.empty()) {
    connection = std::make_unique<Connection>(
        Connection{.stream = beast::tcp_stream(m_context)});
    co_await connection->stream.async_connect(
        *TcpEndpoint(m_hosts[options.host]->caller_address), Into(error));
    if (error) co_return response;
  } else {
    connection = std::move(idle.back());
    idle.pop_back();
  }
  HttpRequest request(http::verb::get, options.target, 11);
  request.set(http::field::host, kRouteHost);
  request.set("Id", options.id);
  request.set("Left", std::to_string(options.deadline.count()));
  co_await http::async_write(connection->stream, request, Into(error));
  if (error) co_return response;
  HttpResponse received;
  co_await http::async_read(connection->stream, connection->buffer, received,
                            Into(error));
  if (error) co_return response;
  if (received.keep_alive()) {
    m_idle[options.host].push_back(std::move(connection));
  }
  co_return received;
}

}  // namespace kumquatmoor
