// fake_backend: an emulated backend server for the demo, the proofs and the
// benchmarks. It announces itself to the node on its host, responds on every
// path, records the request id of each non-idempotent run, and injects the
// faults that its flags or POST /__test select.
//
//   fake_backend --address=127.0.0.1:8000 --node=127.0.0.1:7003
//       --service=bookings --serve_version=v2 --fault=errors
//       --fault_route=/pay
//
// SIGTERM starts a drain: the announcements mark the server as draining, and
// the process ends after --linger_s and its last request.

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
DEFINE_string(node, "",
              "Admin address of the node on this host, IP:PORT; empty: no "
              "announcements.");
DEFINE_string(service, "listings", "Service that it belongs to.");
DEFINE_string(serve_version, "v1", "Version of the service.");
DEFINE_int32(slots, 10, "Requests that it runs at once.");
DEFINE_int32(connections, 100, "Connections that it announces to accept.");
DEFINE_double(latency_ms, 5, "Mean service time of a request.");
DEFINE_double(cold_ms, 0,
              "Service time added within 2 seconds of the first request.");
DEFINE_string(runs_file, "",
              "File to which the id and the Unix time in ms of each "
              "non-idempotent request that runs are appended.");
DEFINE_string(fault, "",
              "Fault to inject: errors, slow, hang, truncate, wrong_status, "
              "shed, crossed (answers with the id of another request) or "
              "crash.");
DEFINE_string(fault_route, "",
              "Only requests whose path contains this text are affected.");
DEFINE_double(fault_rate, 1,
              "Fraction of the matching requests that are affected, 0 to 1.");
DEFINE_double(fault_after_s, 0,
              "Seconds from the first request until the fault begins.");
DEFINE_double(fault_slow_factor, 10,
              "Factor on the service time with --fault=slow.");
DEFINE_double(linger_s, 2, "Minimum duration of a drain, in seconds.");
DEFINE_int32(fault_above, -1,
             "Only with more requests in flight than this number; -1: any.");

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
constexpr milliseconds kDrainPollInterval{20};
constexpr double kColdStartSeconds = 2;

double SecondsSince(steady_clock::time_point start) {
  return duration<double>(steady_clock::now() - start).count();
}

// Handles requests. Not thread-safe: used on the thread of the io_context.
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
    if (target == "/__test") co_return HandleTestRequest(request.body());
    if (m_in_flight >= FLAGS_slots || HasFault("shed", target)) {
      co_return MakeShedResponse(request);
    }
    ++m_in_flight;
    if (m_start == steady_clock::time_point()) m_start = steady_clock::now();
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
    const double time_ms = ServiceTimeMs(target);
    if (time_ms > 0) {
      asio::steady_timer timer(socket.get_executor());
      timer.expires_after(std::chrono::duration_cast<steady_clock::duration>(
          duration<double, std::milli>(time_ms)));
      co_await timer.async_wait(asio::use_awaitable);
    }
    --m_in_flight;
    if (HasFault("crash", target)) std::_Exit(1);
    if (HasFault("truncate", target)) {
      co_return co_await SendTruncatedResponse(socket);
    }
    co_return MakeTargetResponse(request, target);
  }

  int InFlight() const { return m_in_flight; }

 private:
  // True if --fault is `fault` and the filters of the fault flags and a random
  // draw select this request.
  bool HasFault(const std::string& fault, const std::string& target) {
    if (FLAGS_fault != fault) return false;
    if (target.find(FLAGS_fault_route) == std::string::npos) return false;
    if (m_in_flight <= FLAGS_fault_above) return false;
    const bool fault_started = m_start != steady_clock::time_point() &&
                               SecondsSince(m_start) >= FLAGS_fault_after_s;
    if (FLAGS_fault_after_s > 0 && !fault_started) return false;
    return std::uniform_real_distribution<double>(0, 1)(m_rng) <
           FLAGS_fault_rate;
  }

  // The service time that a path "/...?ms=N" asks for. Otherwise draws one: 3/4
  // of --latency_ms is constant, the rest has an exponential distribution.
  double ServiceTimeMs(const std::string& target) {
    double time_ms = 0;
    const size_t ms_at = target.find("ms=");
    if (ms_at != std::string::npos) {
      time_ms = std::stod(target.substr(ms_at + 3));
    } else if (FLAGS_latency_ms > 0) {
      std::exponential_distribution<double> extra_ms(4 / FLAGS_latency_ms);
      time_ms = FLAGS_latency_ms * 0.75 + extra_ms(m_rng);
    }
    if (SecondsSince(m_start) < kColdStartSeconds) time_ms += FLAGS_cold_ms;
    if (HasFault("slow", target)) time_ms *= FLAGS_fault_slow_factor;
    if (HasFault("hang", target)) time_ms = 3'600'000;
    return time_ms;
  }

  HttpResponse MakeShedResponse(const HttpRequest& request) {
    auto response = kumquatmoor::MakeResponse(503, "busy\n", "text/plain");
    response.set(headers::kVerdict, "NotRun");
    response.set(headers::kReason, "the backend server is busy");
    response.set(headers::kRequestId, request[headers::kRequestId]);
    response.set(boost::beast::http::field::retry_after, "1");
    return response;
  }

  HttpResponse MakeTargetResponse(const HttpRequest& request,
                                  const std::string& target) {
    unsigned status = 200;
    if (HasFault("errors", target)) status = 500;
    if (HasFault("wrong_status", target)) status = 404;
    std::string id(request[headers::kRequestId]);
    if (HasFault("crossed", target)) std::swap(id, m_swapped_id);
    // The body echoes the request id and the request body, so that the load
    // tool detects truncated responses and responses to another request.
    std::string body = FLAGS_service + " " + FLAGS_serve_version + " " + id +
                       "\n" + request.body();
    // A path "/...?size=N" asks for a response body of at least N bytes.
    const size_t size_at = target.find("size=");
    if (size_at != std::string::npos) {
      const size_t size = std::stoull(target.substr(size_at + 5));
      if (size > body.size()) body.resize(size, '.');
    }
    auto response = kumquatmoor::MakeResponse(status, body, "text/plain");
    response.set(headers::kRequestId, id);
    return response;
  }

  asio::awaitable<HttpResponse> SendTruncatedResponse(
      asio::ip::tcp::socket& socket) {
    const std::string partial_response =
        "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nhalf";
    co_await asio::async_write(socket, asio::buffer(partial_response),
                               asio::use_awaitable);
    throw std::runtime_error("truncated");
  }

  // Serves POST /__test: sets the fault flags, latency and linger time that the
  // JSON body names, and returns the counts of runs and requests in flight.
  HttpResponse HandleTestRequest(const std::string& text) {
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

  // Id withheld by the last crossed response; the next one gets it.
  std::string m_swapped_id = "none";
  int m_in_flight = 0;
  uint64_t m_runs = 0;
  // Time of the first request; the default value until then.
  steady_clock::time_point m_start;
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

// Announces the drain, waits for --linger_s and for the requests in flight,
// then stops the process.
asio::awaitable<void> DrainAndStop(asio::io_context& context,
                                   const FakeBackend& backend,
                                   std::atomic<bool>& draining) {
  draining = true;
  asio::steady_timer timer(context);
  const auto drain_start = steady_clock::now();
  while (SecondsSince(drain_start) < FLAGS_linger_s || backend.InFlight() > 0) {
    timer.expires_after(kDrainPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
  context.stop();
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("An emulated backend server.");
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
    asio::co_spawn(context, DrainAndStop(context, backend, draining),
                   asio::detached);
  });
  context.run();
  stopping = true;
  announcer.join();
  return 0;
}
