// fake_backend: stands in for a backend server. It announces itself to the
// node beside it, serves every path, counts each run by request id, and shows
// the faults that its flags or POST /__test ask for.

#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <fstream>
#include <iostream>
#include <random>
#include <stdexcept>
#include <string>
#include <thread>

#include "kumquatmoor/protocol/headers.h"
#include "kumquatmoor/protocol/verdict.h"
#include "kumquatmoor/transport/http_call.h"
#include "kumquatmoor/transport/http_server.h"

DEFINE_string(address, "127.0.0.1:8000", "IP:PORT to listen on.");
DEFINE_string(node, "", "Admin address of the node to announce to.");
DEFINE_string(service, "listings", "Service.");
DEFINE_string(serve_version, "v1", "Version.");
DEFINE_int32(slots, 10, "Requests it runs at once.");
DEFINE_int32(connections, 100, "Connections it accepts.");
DEFINE_double(latency_ms, 5, "Time that a request takes.");
DEFINE_double(cold_ms, 0, "Added time of a request in the first 2 seconds.");
DEFINE_string(runs_file, "",
              "File that gets the id of each non-idempotent request it runs.");
DEFINE_string(fault, "",
              "errors, slow, hang, truncate, wrong_status, shed, crossed (the "
              "answer to the request before) or crash.");
DEFINE_string(fault_route, "", "Part of the paths that show the fault.");
DEFINE_double(fault_rate, 1, "Part of the requests that show the fault.");
DEFINE_double(fault_after_s, 0, "Seconds from the first request on.");
DEFINE_double(fault_slow_factor, 10, "How much slower with --fault=slow.");
DEFINE_double(linger_s, 2, "Time that a drain takes at least.");
DEFINE_int32(fault_above, -1, "Only with more requests in flight than this.");

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
namespace headers = kumquatmoor::headers;
using kumquatmoor::HttpRequest;
using kumquatmoor::HttpResponse;
using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kAnnounceInterval{500};
constexpr milliseconds kAnnounceTtl{2'500};
constexpr milliseconds kDrainPoll{20};
constexpr double kColdSeconds = 2;

double SecondsSince(steady_clock::time_point start) {
  return duration<double>(steady_clock::now() - start).count();
}

class FakeBackend {
 public:
  FakeBackend() {
    if (!FLAGS_runs_file.empty()) {
      m_runs_file.open(FLAGS_runs_file, std::ios::app);
    }
  }

  asio::awaitable<HttpResponse> Handle(HttpRequest& request,
                                       asio::ip::tcp::socket& socket) {
    const std::string target(request.target());
    if (target == "/__test") co_return Control(request.body());
    if (m_in_flight >= FLAGS_slots || HasFault("shed", target)) {
      co_return Shed(request);
    }
    ++m_in_flight;
    if (m_first == steady_clock::time_point()) m_first = steady_clock::now();
    const std::string method(request.method_string());
    ++m_runs;
    if (!kumquatmoor::IsIdempotent(method) && m_runs_file.is_open()) {
      const auto unix_ms =
          std::chrono::duration_cast<milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count();
      m_runs_file << request[headers::kRequestId] << ' ' << unix_ms
                  << std::endl;
    }
    const double time_ms = TimeFor(target);
    if (time_ms > 0) {
      asio::steady_timer timer(socket.get_executor());
      timer.expires_after(std::chrono::duration_cast<steady_clock::duration>(
          duration<double, std::milli>(time_ms)));
      co_await timer.async_wait(asio::use_awaitable);
    }
    --m_in_flight;
    if (HasFault("crash", target)) std::_Exit(1);
    if (HasFault("truncate", target)) {
      co_return co_await Truncate(socket);
    }
    co_return Answer(request, target);
  }

  int InFlight() const { return m_in_flight; }

 private:
  bool HasFault(const std::string& fault, const std::string& target) {
    if (FLAGS_fault != fault) return false;
    if (target.find(FLAGS_fault_route) == std::string::npos) return false;
    if (m_in_flight <= FLAGS_fault_above) return false;
    const bool begun = m_first != steady_clock::time_point() &&
                       SecondsSince(m_first) >= FLAGS_fault_after_s;
    if (FLAGS_fault_after_s > 0 && !begun) return false;
    return std::uniform_real_distribution<double>(0, 1)(m_rng) <
           FLAGS_fault_rate;
  }

  double TimeFor(const std::string& target) {
    double time = 0;
    if (FLAGS_latency_ms > 0) {
      std::exponential_distribution<double> extra(4 / FLAGS_latency_ms);
      time = FLAGS_latency_ms * 0.75 + extra(m_rng);
    }
    if (SecondsSince(m_first) < kColdSeconds) time += FLAGS_cold_ms;
    if (HasFault("slow", target)) time *= FLAGS_fault_slow_factor;
    if (HasFault("hang", target)) time = 3'600'000;
    return time;
  }

  HttpResponse Shed(const HttpRequest& request) {
    auto response = kumquatmoor::MakeResponse(503, "busy\n", "text/plain");
    response.set(headers::kVerdict, "NotRun");
    response.set(headers::kReason, "the backend server is busy");
    response.set(headers::kRequestId, request[headers::kRequestId]);
    response.set(boost::beast::http::field::retry_after, "1");
    return response;
  }

  HttpResponse Answer(const HttpRequest& request, const std::string& target) {
    unsigned status = 200;
    if (HasFault("errors", target)) status = 500;
    if (HasFault("wrong_status", target)) status = 404;
    std::string id(request[headers::kRequestId]);
    if (HasFault("crossed", target)) std::swap(id, m_previous_id);
    // Echoes the request, so that a caller can check that it is the answer to
    // its own, and whole.
    std::string body = FLAGS_service + " " + FLAGS_serve_version + " " + id +
                       "\n" + request.body();
    // "/...?size=N" asks for a body of that many bytes.
    const size_t size_at = target.find("size=");
    if (size_at != std::string::npos) {
      const size_t size = std::stoull(target.substr(size_at + 5));
      if (size > body.size()) body.resize(size, '.');
    }
    auto response = kumquatmoor::MakeResponse(status, body, "text/plain");
    response.set(headers::kRequestId, id);
    return response;
  }

  asio::awaitable<HttpResponse> Truncate(asio::ip::tcp::socket& socket) {
    const std::string part =
        "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nhalf";
    co_await asio::async_write(socket, asio::buffer(part), asio::use_awaitable);
    throw std::runtime_error("truncated");
  }

  // Sets the fault flags of this process, and tells its counts.
  HttpResponse Control(const std::string& text) {
    json::error_code error;
    const auto value = json::parse(text, error);
    if (!error && value.is_object()) {
      for (const auto& [key, flag] : value.as_object()) {
        const std::string name(key);
        const std::string setting = flag.is_string()
                                        ? std::string(flag.as_string())
                                        : json::serialize(flag);
        if (name.rfind("fault", 0) == 0 || name == "latency_ms" ||
            name == "linger_s") {
          gflags::SetCommandLineOption(name.c_str(), setting.c_str());
        }
      }
    }
    return kumquatmoor::MakeResponse(
        200,
        json::serialize(
            json::object{{"runs", m_runs}, {"in_flight", m_in_flight}}),
        "application/json");
  }

  std::string m_previous_id = "none";
  int m_in_flight = 0;
  uint64_t m_runs = 0;
  steady_clock::time_point m_first;
  std::ofstream m_runs_file;
  std::mt19937_64 m_rng{std::random_device{}()};
};

void Announce(bool draining) {
  if (FLAGS_node.empty()) return;
  kumquatmoor::HttpCallOptions call;
  call.address = FLAGS_node;
  call.target = "/announce";
  call.timeout = milliseconds(500);
  call.body = json::serialize(json::object{{"service", FLAGS_service},
                                           {"version", FLAGS_serve_version},
                                           {"address", FLAGS_address},
                                           {"slots", FLAGS_slots},
                                           {"connections", FLAGS_connections},
                                           {"draining", draining},
                                           {"ttl_ms", kAnnounceTtl.count()}});
  kumquatmoor::Attempt([&] { return kumquatmoor::HttpCall(call); });
}

asio::awaitable<void> Leave(asio::io_context& context,
                            const FakeBackend& backend,
                            std::atomic<bool>& draining) {
  draining = true;
  asio::steady_timer timer(context);
  const auto begin = steady_clock::now();
  while (SecondsSince(begin) < FLAGS_linger_s || backend.InFlight() > 0) {
    timer.expires_after(kDrainPoll);
    co_await timer.async_wait(asio::use_awaitable);
  }
  context.stop();
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("A stand-in for a backend server.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  asio::io_context context(1);
  FakeBackend backend;
  kumquatmoor::HttpServer server(
      context, {.address = FLAGS_address},
      kumquatmoor::MakeBufferedSession(
          {.max_body_bytes = 256U << 20U},
          [&](HttpRequest& request, asio::ip::tcp::socket& socket) {
            return backend.Handle(request, socket);
          }));
  if (auto error = server.Start()) {
    std::cerr << FLAGS_address << ": " << error.message() << "\n";
    return 1;
  }
  std::atomic<bool> draining{false};
  std::atomic<bool> stopping{false};
  std::thread announcer([&] {
    while (!stopping) {
      Announce(draining);
      std::this_thread::sleep_for(kAnnounceInterval);
    }
  });
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code, int) {
    asio::co_spawn(context, Leave(context, backend, draining), asio::detached);
  });
  context.run();
  stopping = true;
  announcer.join();
  return 0;
}
