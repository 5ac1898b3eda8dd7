// How long a new configuration takes to get to a host with little processor
// time and a slow link, and what callers get, while the backend server of that
// host behaves oddly: it names a limit, says that it leaves, crashes, or sends
// bytes without end. Two whole nodes over loopback; the threads of the slow one
// share a processor with busy threads.

#include "node/odd_backend.h"

#include <sched.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <future>
#include <map>
#include <mutex>
#include <thread>

#include "kumquatmoor/node/node.h"
#include "kumquatmoor/transport/endpoint_address.h"
#include "node/test_mesh.h"
#include "node/test_store.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using std::chrono::milliseconds;

// Of the slow host: a tenth of a processor, a link of 10 Mbit/s.
constexpr int kBusyThreads = 9;
constexpr double kLinkMbps = 10;
constexpr double kLinkBytesPerMs = 1'250;
constexpr size_t kRoutes = 1'400;
// Within it a change has to be in force, from its confirmation on.
constexpr milliseconds kBound{2'000};
constexpr int kChanges = 3;
constexpr milliseconds kPause{400};  // Between two changes.
constexpr int kOddCallers = 12;
constexpr size_t kStatusBytes = 12;  // Of a response, with the status.
constexpr milliseconds kDeadline{1'000};
// What the nodes, callers and backend servers of the test may take in addition
// while bytes without end arrive.
constexpr size_t kMaxGrowthBytes = 64U << 20U;

constexpr char kSlowCaller[] = "127.44.0.1:17500";
constexpr char kSlowAdmin[] = "127.44.0.1:17503";
constexpr char kOddBackend[] = "127.44.0.1:17504";
constexpr char kFarCaller[] = "127.44.0.2:17500";
constexpr char kFarAdmin[] = "127.44.0.2:17503";
constexpr char kGoodBackend[] = "127.44.0.2:17504";

auto Into(beast::error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

void AddRoute(const std::string& name, const std::string& service,
              uint32_t timeout_ms, Batch* batch) {
  HttpRoute* route = batch->add_routes();
  route->set_name(name);
  route->set_host("h");
  route->set_prefix("/" + name + "/");
  route->set_max_attempts(2);
  route->set_timeout_ms(timeout_ms);
  WeightedService* part = route->add_parts();
  part->set_service(service);
  part->set_weight(1);
}

// With one route for each revision before, which stays. Each revision changes
// all other routes, so that no change fits a datagram.
Batch MakeBatch(uint64_t revision) {
  Batch batch;
  batch.set_revision(revision);
  for (const char* name : {"good", "odd"}) {
    ServiceConfig* service = batch.add_services();
    service->set_service(name);
    Row* row = service->add_rows();
    row->set_version("*");
    row->set_weight(100);
    row->set_from_weight(100);
  }
  std::map<std::string, std::string> routes{{"good", "good"}, {"odd", "odd"}};
  for (size_t i = 0; i < kRoutes; ++i) {
    routes.emplace("filler" + std::to_string(i), "good");
  }
  for (uint64_t i = 1; i <= revision; ++i) {
    routes.emplace("added" + std::to_string(i), "good");
  }
  for (const auto& [name, service] : routes) {
    AddRoute(name, service, 3'000 + static_cast<uint32_t>(revision), &batch);
  }
  return batch;
}

NodeSettings Settings(const std::string& id, const std::string& address) {
  NodeSettings settings;
  settings.id = id;
  settings.zone = "z";
  settings.caller_address = address + ":17500";
  settings.data_address = address + ":17501";
  settings.control_address = address + ":17502";
  settings.admin_address = address + ":17503";
  settings.seeds = {"127.44.0.2:17502"};
  settings.waiting_per_slot = 4;
  settings.gateways_per_zone = 1;
  return settings;
}

// Runs `work` on a thread of its own that, as all threads that it starts, runs
// on one processor only.
void RunOnOneProcessor(const std::function<void()>& work) {
  std::thread([&] {
    cpu_set_t allowed;
    sched_getaffinity(0, sizeof(allowed), &allowed);
    int last = CPU_SETSIZE - 1;
    while (last > 0 && !CPU_ISSET(last, &allowed)) --last;
    cpu_set_t one;
    CPU_ZERO(&one);
    CPU_SET(last, &one);
    sched_setaffinity(0, sizeof(one), &one);
    work();
  }).join();
}

size_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  size_t pages = 0;
  file >> pages >> pages;
  return pages * 4'096;
}

class OddHost {
 public:
  OddHost() {
    m_store.Put(MakeBatch(1));
    m_far = std::make_unique<Node>(Settings("far", "127.44.0.2"),
                                   NodeOptions{.platform = &m_platform,
                                               .source = &m_far_source,
                                               .headers = TestMeshHeaders()});
    REQUIRE(m_far->Start().empty());
    NodeSettings slow = Settings("slow", "127.44.0.1");
    slow.link_mbps = kLinkMbps;
    RunOnOneProcessor([&] {
      m_slow = std::make_unique<Node>(
          slow, NodeOptions{.platform = &m_platform,
                            .source = &m_slow_source,
                            .headers = TestMeshHeaders()});
      CHECK(m_slow->Start().empty());
      for (int i = 0; i < kBusyThreads; ++i) {
        m_busy.emplace_back([this] {
          while (!m_stopping) {
          }
        });
      }
    });
    for (auto* context : {&m_backend_context, &m_caller_context}) {
      m_threads.emplace_back([context] {
        const auto work = asio::make_work_guard(*context);
        context->run();
      });
    }
    asio::co_spawn(m_caller_context, Announce(), asio::detached);
    REQUIRE(AwaitStatus(kSlowCaller, "/added1/x", 200));
    REQUIRE(AwaitStatus(kSlowCaller, "/good/x", 200));
    REQUIRE(AwaitStatus(kFarCaller, "/odd/x", 200));
  }
  ~OddHost() {
    m_stopping = true;
    for (auto& thread : m_busy) thread.join();
    m_caller_context.stop();
    m_slow.reset();
    m_far.reset();
    m_backend_context.stop();
    for (auto& thread : m_threads) thread.join();
  }

  // Plays requests to "/odd/.../KIND" from both hosts, beside proper ones.
  void Play(const std::string& kind) {
    const size_t before = ResidentBytes();
    for (int i = 0; i < kOddCallers; ++i) {
      const char* node = i % 3 == 0 ? kFarCaller : kSlowCaller;
      asio::co_spawn(m_caller_context,
                     Repeat(node, "odd", kind, milliseconds(1)),
                     asio::detached);
    }
    for (const char* node : {kFarCaller, kSlowCaller}) {
      for (const char* service : {"odd", "good"}) {
        asio::co_spawn(m_caller_context,
                       Repeat(node, service, "x", milliseconds(50)),
                       asio::detached);
      }
    }
    for (int i = 0; i < kChanges; ++i) {
      std::this_thread::sleep_for(kPause);
      const uint64_t revision = ++m_revision;
      const auto confirmed = std::chrono::steady_clock::now();
      m_store.Put(MakeBatch(revision));
      delays.push_back(std::chrono::duration_cast<milliseconds>(
          AwaitRoute(revision) - confirmed));
      growth =
          std::max(growth, ResidentBytes() - std::min(before, ResidentBytes()));
    }
  }

  std::map<unsigned, int> Statuses() {
    const std::lock_guard lock(m_mutex);
    return m_statuses;
  }

  int Crashes() const { return m_odd.crashes; }

  std::vector<milliseconds> delays;  // Of the changes, at the slow host.
  size_t growth = 0;                 // Of the memory, in bytes.

 private:
  // The status of the response, 0 if there is none in time. Reads to its end.
  asio::awaitable<unsigned> Call(std::string node, std::string target,
                                 std::string method = "GET",
                                 std::string body = "") {
    beast::tcp_stream stream(m_caller_context);
    stream.expires_after(kDeadline + milliseconds(500));
    beast::error_code error;
    co_await stream.async_connect(*TcpEndpoint(node), Into(error));
    if (error) co_return 0;
    const std::string request =
        method + " " + target +
        " HTTP/1.1\r\nHost: h\r\nLeft: " + std::to_string(kDeadline.count()) +
        "\r\nId: r" + std::to_string(++m_last_id) +
        "\r\nConnection: close\r\n" +
        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    co_await asio::async_write(stream, asio::buffer(request), Into(error));
    std::string head;
    std::array<char, 65'536> part{};
    while (!error) {
      const size_t size =
          co_await stream.async_read_some(asio::buffer(part), Into(error));
      if (head.size() < kStatusBytes)
        head.append(part.data(), std::min<size_t>(size, kStatusBytes));
    }
    if (head.size() < kStatusBytes) co_return 0;
    co_return std::stoul(head.substr(9, 3));
  }

  asio::awaitable<void> Sleep(milliseconds time) {
    asio::steady_timer timer(m_caller_context);
    timer.expires_after(time);
    co_await timer.async_wait(asio::use_awaitable);
  }

  asio::awaitable<void> Repeat(std::string node, std::string service,
                               std::string kind, milliseconds pause) {
    while (true) {
      const std::string target =
          fmt::format("/{}/{}/{}", service, ++m_last_target, kind);
      const unsigned status = co_await Call(node, target);
      {
        const std::lock_guard lock(m_mutex);
        ++m_statuses[status];
      }
      co_await Sleep(pause);
    }
  }

  asio::awaitable<void> Announce() {
    const auto body = [](const char* service, const char* address) {
      return std::string(R"({"service":")") + service +
             R"(","version":"v1","slots":8,"address":")" + address + R"("})";
    };
    while (true) {
      co_await Call(kSlowAdmin, "/announce", "POST", body("odd", kOddBackend));
      co_await Call(kFarAdmin, "/announce", "POST", body("good", kGoodBackend));
      co_await Sleep(milliseconds(300));
    }
  }

  bool AwaitStatus(const char* node, const std::string& target,
                   unsigned status) {
    const auto end = std::chrono::steady_clock::now() + milliseconds(10'000);
    while (std::chrono::steady_clock::now() < end) {
      const unsigned got = CallNow(node, target);
      if (got == status) return true;
      std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
  }

  // Returns when the first request was sent that the slow host routed by the
  // configuration of the revision.
  std::chrono::steady_clock::time_point AwaitRoute(uint64_t revision) {
    const auto start = std::chrono::steady_clock::now();
    auto sent = start;
    while (sent < start + milliseconds(10'000)) {
      const unsigned status =
          CallNow(kSlowCaller, "/added" + std::to_string(revision) + "/x");
      if (status != 404 && status != 0) return sent;
      std::this_thread::sleep_for(milliseconds(5));
      sent = std::chrono::steady_clock::now();
    }
    return sent;
  }

  unsigned CallNow(const char* node, const std::string& target) {
    return asio::co_spawn(m_caller_context, Call(node, target),
                          asio::use_future)
        .get();
  }

  TestStore m_store;
  StoreSource m_far_source{&m_store, 0};
  StoreSource m_slow_source{&m_store, kLinkBytesPerMs};
  EmptyPlatform m_platform;
  std::atomic<bool> m_stopping{false};
  std::vector<std::thread> m_busy;
  std::unique_ptr<Node> m_far;
  std::unique_ptr<Node> m_slow;
  asio::io_context m_backend_context{1};
  asio::io_context m_caller_context{1};
  OddBackend m_odd{m_backend_context, kOddBackend};
  OddBackend m_good{m_backend_context, kGoodBackend};
  std::vector<std::thread> m_threads;
  uint64_t m_revision = 1;
  std::atomic<int> m_last_id{0};
  int m_last_target = 0;
  std::mutex m_mutex;
  std::map<unsigned, int> m_statuses;
};

// Plays requests that a backend server answers as `kind` says.
void CheckKind(const std::string& kind) {
  OddHost host;
  host.Play(kind);
  const auto statuses = host.Statuses();
  std::string report = kind + ": delays_ms=";
  for (const auto delay : host.delays) {
    report += std::to_string(delay.count()) + " ";
  }
  report += "growth_mb=" + std::to_string(host.growth >> 20U) + " statuses=";
  for (const auto& [status, count] : statuses) {
    report += std::to_string(status) + ":" + std::to_string(count) + " ";
  }
  INFO(report);
  for (const auto& [status, count] : statuses) {
    const bool denial = status / 100 == 3 || status / 100 == 4;
    const bool promise = status == 408 || status == 421 || status == 429;
    CHECK((!denial || promise));
  }
  // Of the callers of another service.
  CHECK(statuses.count(200) > 0);
  for (const auto delay : host.delays) CHECK(delay < kBound);
  CHECK(host.growth < kMaxGrowthBytes);
  if (kind == "crash") CHECK(host.Crashes() >= kChanges);
}

// Each guards against a configuration that is late at a slow host, and against
// a statement that a proper request is wrong, while its backend server behaves
// oddly.
TEST_CASE("A backend server with a limit delays no configuration",
          "[odd-backend]") {
  CheckKind("limit");
}

TEST_CASE("A backend server that leaves delays no configuration",
          "[odd-backend]") {
  CheckKind("leave");
}

TEST_CASE("Requests that crash their backend server delay no configuration",
          "[odd-backend][starved-host]") {
  CheckKind("crash");
}

TEST_CASE("Bytes without end in a head delay no configuration",
          "[odd-backend]") {
  for (const char* kind : {"line", "head", "interim"}) CheckKind(kind);
}

TEST_CASE("Bytes without end in a body delay no configuration",
          "[odd-backend][starved-host]") {
  for (const char* kind : {"size", "extension", "chunks", "body", "trailer"}) {
    CheckKind(kind);
  }
}

}  // namespace
}  // namespace kumquatmoor
