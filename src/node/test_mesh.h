#ifndef KUMQUATMOOR_SRC_NODE_TEST_MESH_H_
#define KUMQUATMOOR_SRC_NODE_TEST_MESH_H_

// TestMesh: proxies over loopback, each beside a scripted backend server, for
// tests of what several nodes do together.
//
//   TestMesh mesh;
//   mesh.AddHost({.service = "s"});
//   mesh.Start();
//   mesh.Run([&]() -> asio::awaitable<void> {
//     const TestMesh::CallOptions call{.target = "/s/1", .id = "r1"};
//     const HttpResponse response = co_await mesh.Call(call);
//     ...
//   });
//
// Crashes that a node reports are known to all nodes 50 ms later, in place of
// gossip. Everything runs on the thread that calls Run. A request to
// "/SERVICE/..." is routed to the service, by a route of its own if it begins
// with "/SERVICE/other/" or "/SERVICE/write/", which is not idempotent. The
// headers have short names, see TestMeshHeaders.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "kumquatmoor/node/proxy.h"
#include "kumquatmoor/transport/http_server.h"

namespace kumquatmoor {

CallHeaders TestMeshHeaders();

class TestMesh {
 public:
  struct HostOptions {
    std::string service;
    uint32_t slots = 8;
    // Latency objective of the route to the service; 0: none.
    std::chrono::milliseconds objective{0};
    ProxyOptions proxy = {};
  };
  // A request that reached a backend server.
  struct Arrival {
    size_t host = 0;
    std::string service;
    std::string target;
    std::string id;
    TimePoint at;
  };
  // Returns a backend server's response to a request. It is not sent if the
  // backend server crashes meanwhile.
  using Script = std::function<boost::asio::awaitable<HttpResponse>(
      size_t host, const HttpRequest& request)>;
  struct CallOptions {
    size_t host = 0;  // Whose proxy is called.
    std::string target;
    std::string id;
    std::chrono::milliseconds deadline{1'000};
  };

  TestMesh() = default;
  ~TestMesh();
  TestMesh(const TestMesh&) = delete;
  TestMesh& operator=(const TestMesh&) = delete;

  void AddHost(HostOptions options);
  void SetScript(const std::string& service, Script script) {
    m_scripts[service] = std::move(script);
  }
  // Starts all hosts.
  void Start();
  // Replaces the node of a host by a new one with other addresses, which knows
  // nothing of the earlier one. The backend server continues to run.
  void RestartNode(size_t host);
  // Ends the backend server of a host: all its connections end, and it accepts
  // none for `down_time`. It returns as another instance.
  void CrashBackend(size_t host, std::chrono::milliseconds down_time);
  // Runs the mesh until `main` ends.
  void Run(std::function<boost::asio::awaitable<void>()> main);
  // Calls a host's proxy. The status of the response is 0 if there is none.
  boost::asio::awaitable<HttpResponse> Call(CallOptions options);
  // A response of a backend server to `request`.
  static HttpResponse Response(const HttpRequest& request, unsigned status);

  boost::asio::io_context& Context() { return m_context; }
  Proxy& NodeOf(size_t host) { return *m_hosts[host]->proxy; }
  const std::string& CallerAddress(size_t host) const {
    return m_hosts[host]->caller_address;
  }
  const std::string& DataAddress(size_t host) const {
    return m_hosts[host]->data_address;
  }
  const std::vector<Arrival>& Arrivals() const { return m_arrivals; }
  // What all nodes know of crashes.
  const CrashSuspects& Crashes() const { return m_crashes; }

 private:
  struct Host {
    HostOptions options;
    std::string name;
    std::string data_address;
    std::string caller_address;
    std::string backend_address;
    std::unique_ptr<Proxy> proxy;
    std::unique_ptr<HttpServer> backend;
    bool is_down = false;  // The backend server has crashed.
    uint32_t crashes = 0;
    // Connections on which the backend server runs a request.
    std::set<boost::asio::ip::tcp::socket*> running;
  };
  struct Connection {
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
  };

  std::string NewAddress();
  void StartNode(Host& host);
  void PublishRoutes();
  std::shared_ptr<const RouteTable> Routes() const;
  // Runs `change` on the crash records of the mesh after the delay of gossip.
  void ChangeCrashes(std::function<void(CrashSuspects&)> change);
  // Passes the backend server's current instance to its node.
  static void Announce(Host& host);
  boost::asio::awaitable<void> RestartBackend(
      Host& host, std::chrono::milliseconds down_time);
  boost::asio::awaitable<HttpResponse> RunScript(
      size_t host, const HttpRequest& request,
      boost::asio::ip::tcp::socket& socket);

  boost::asio::io_context m_context{1};
  BoundedRing<Outcome> m_outcomes{65'536};
  std::map<std::string, Script> m_scripts;  // By service.
  std::vector<std::unique_ptr<Host>> m_hosts;
  // Nodes that were replaced. Their sessions may still refer to them.
  std::vector<std::unique_ptr<Proxy>> m_replaced;
  // Idle connections of callers, by host.
  std::map<size_t, std::vector<std::unique_ptr<Connection>>> m_idle;
  std::vector<Arrival> m_arrivals;
  CrashSuspects m_crashes;
  uint16_t m_next_port = 17'300;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_NODE_TEST_MESH_H_
