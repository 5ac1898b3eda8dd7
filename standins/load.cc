// load: an open-loop load generator that emulates the callers. It sends
// requests at a fixed rate, whether or not earlier ones have ended, checks
// that each response is complete and belongs to its request, and writes the
// outcomes and latency quantiles as JSON.
//
//   load --nodes=127.0.0.1:7000 --mix=bookings:POST:/pay --rate=200
//       --seconds=10
//
// Latency counts from the time at which a request was due, so a generator that
// falls behind its rate does not hide the delay.

#include <gflags/gflags.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/histogram.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <fstream>
#include <iostream>
#include <map>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "kumquatmoor/protocol/headers.h"
#include "kumquatmoor/transport/endpoint_address.h"
#include "kumquatmoor/transport/upstream_pool.h"

DEFINE_string(nodes, "", "Caller addresses of the nodes, IP:PORT,IP:PORT,...");
DEFINE_string(mix, "listings:GET:/search",
              "Kinds of requests, SERVICE:METHOD:PATH separated by commas; "
              "each request draws one uniformly.");
DEFINE_double(rate, 50, "Requests per second.");
DEFINE_double(seconds, 5, "Duration; SIGTERM ends it early.");
DEFINE_int32(deadline_ms, 2000, "Deadline of each request.");
DEFINE_string(direct_version, "",
              "Version expected of answers without a version header, for calls "
              "that go directly to a backend server.");
DEFINE_uint64(body_bytes, 0, "Minimum size of the body of a POST.");
DEFINE_uint64(seed, 1, "Seed of the random draws.");
DEFINE_string(id_prefix, "load", "Prefix of each request id.");
DEFINE_string(not_run_file, "",
              "File for the ids of requests that were answered NotRun.");
DEFINE_string(output, "", "File for the JSON report; empty: standard output.");
DEFINE_string(calls_file, "",
              "File for one line per call: id, service, method, outcome, "
              "version, latency in ms.");

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
namespace headers = kumquatmoor::headers;
using kumquatmoor::UpstreamConnection;
using kumquatmoor::UpstreamPool;
using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using Error = boost::system::error_code;

// Time after the deadline at which the caller itself stops waiting for a
// response.
constexpr milliseconds kCallerGrace{500};

// One entry of --mix.
struct MixEntry {
  std::string service;
  std::string method;
  std::string path;
};

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::stringstream stream(text);
  for (std::string part; std::getline(stream, part, separator);) {
    parts.push_back(part);
  }
  return parts;
}

// Sends the requests and collects their outcomes. Not thread-safe: used on the
// thread of the io_context.
class LoadGenerator {
 public:
  explicit LoadGenerator(asio::io_context& context)
      : m_context(context), m_pool(context), m_rng(FLAGS_seed) {
    m_nodes = Split(FLAGS_nodes, ',');
    for (const auto& text : Split(FLAGS_mix, ',')) {
      const auto parts = Split(text, ':');
      if (parts.size() == 3) m_mix.push_back({parts[0], parts[1], parts[2]});
    }
    if (!FLAGS_not_run_file.empty()) m_not_run.open(FLAGS_not_run_file);
    if (!FLAGS_calls_file.empty()) m_calls.open(FLAGS_calls_file);
  }

  bool HasNodesAndMix() const { return !m_nodes.empty() && !m_mix.empty(); }
  void StopEarly() { m_stopped = true; }

  // Starts each request at its due time, waits for all outcomes, writes the
  // report and stops the io_context.
  asio::awaitable<void> Run() {
    asio::steady_timer timer(m_context);
    const auto start = steady_clock::now();
    const auto count = static_cast<uint64_t>(FLAGS_rate * FLAGS_seconds);
    for (uint64_t i = 0; i < count && !m_stopped; ++i) {
      const auto due =
          start + std::chrono::duration_cast<steady_clock::duration>(
                      duration<double>(static_cast<double>(i) / FLAGS_rate));
      timer.expires_at(due);
      co_await timer.async_wait(asio::use_awaitable);
      asio::co_spawn(m_context, Call(i, due), asio::detached);
    }
    while (m_in_flight > 0) {
      timer.expires_after(milliseconds(10));
      co_await timer.async_wait(asio::use_awaitable);
    }
    WriteReport();
    m_context.stop();
  }

 private:
  // Sends one request drawn from the mix and records its outcome and its
  // latency since `due`.
  asio::awaitable<void> Call(uint64_t number, steady_clock::time_point due) {
    ++m_in_flight;
    const MixEntry& entry = m_mix[m_rng() % m_mix.size()];
    const std::string id = FLAGS_id_prefix + "-" + std::to_string(number);
    http::request<http::string_body> request;
    request.method(http::string_to_verb(entry.method));
    request.target(entry.path);
    request.version(11);
    request.set(http::field::host, "kumquatmoor");
    request.set(headers::kService, entry.service);
    request.set(headers::kRequestId, id);
    request.set(headers::kDeadlineMs, std::to_string(FLAGS_deadline_ms));
    if (entry.method == "POST") {
      request.body() = "body of " + id;
      if (request.body().size() < FLAGS_body_bytes) {
        request.body().resize(FLAGS_body_bytes, '.');
      }
    }
    request.prepare_payload();
    std::string served_by = "-";
    std::string outcome = co_await Exchange(entry, id, request, &served_by);
    const double latency_ms =
        duration<double, std::milli>(steady_clock::now() - due).count();
    m_latency(latency_ms);
    ++m_outcomes[outcome];
    if (m_calls.is_open()) {
      m_calls << id << ' ' << entry.service << ' ' << entry.method << ' '
              << outcome << ' ' << served_by << ' ' << latency_ms << '\n';
    }
    --m_in_flight;
  }

  // Sends the request and returns the outcome of the call: ok, a status, a
  // verdict, or the failure. Sets `served_by` to the version that responded,
  // if the response names one.
  asio::awaitable<std::string> Exchange(
      const MixEntry& entry, const std::string& id,
      http::request<http::string_body>& request, std::string* served_by) {
    std::unique_ptr<UpstreamConnection> connection;
    Error error;
    // Starts at a random node and tries the next one when a connection fails.
    const size_t first = m_rng() % m_nodes.size();
    for (size_t i = 0; i < m_nodes.size() && connection == nullptr; ++i) {
      const std::string& node = m_nodes[(first + i) % m_nodes.size()];
      connection = m_pool.TakeIdle(node, milliseconds(5'000), id);
      if (connection != nullptr) break;
      connection = m_pool.MakeNew(node);
      const auto endpoint = kumquatmoor::TcpEndpoint(node);
      if (!endpoint) co_return "bad address";
      connection->stream.expires_after(milliseconds(300));
      co_await connection->stream.async_connect(
          *endpoint, asio::redirect_error(asio::use_awaitable, error));
      if (error) connection.reset();
    }
    if (connection == nullptr) co_return "no node";
    connection->stream.expires_after(milliseconds(FLAGS_deadline_ms) +
                                     kCallerGrace);
    co_await http::async_write(
        connection->stream, request,
        asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return "cut off";
    http::response_parser<http::string_body> parser;
    parser.body_limit(256ULL << 20U);
    co_await http::async_read(connection->stream, connection->buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error == beast::error::timeout) co_return "no answer";
    if (error) co_return "cut off";
    const auto& response = parser.get();
    const std::string outcome = CheckResponse(entry, id, request, response);
    if (response.count(headers::kServedBy) > 0) {
      *served_by = std::string(response[headers::kServedBy]);
    }
    if (response.keep_alive()) m_pool.ReturnIdle(std::move(connection));
    co_return outcome;
  }

  // Returns the outcome of a response: ok, its status, its verdict, or "wrong
  // answer" if the id or the echoed body does not match the request.
  std::string CheckResponse(const MixEntry& entry, const std::string& id,
                            const http::request<http::string_body>& request,
                            const http::response<http::string_body>& response) {
    std::string verdict(response[headers::kVerdict]);
    if (verdict == "NotRun" && m_not_run.is_open()) m_not_run << id << '\n';
    if (response[headers::kRequestId] != id) {
      ++m_wrong_responses;
      return "wrong answer";
    }
    if (response.result_int() != 200) {
      if (verdict != "Ran") return verdict;
      return "status " + std::to_string(response.result_int());
    }
    const std::string version = response.count(headers::kServedBy) > 0
                                    ? std::string(response[headers::kServedBy])
                                    : FLAGS_direct_version;
    const std::string expected =
        entry.service + " " + version + " " + id + "\n" + request.body();
    if (response.body().compare(0, expected.size(), expected) != 0) {
      ++m_wrong_responses;
      return "wrong answer";
    }
    return "ok";
  }

  // Upper bound of the bucket that holds the quantile, in milliseconds.
  double Quantile(double fraction) const {
    const double total = boost::histogram::algorithm::sum(m_latency);
    double below = m_latency.at(-1);
    if (below >= total * fraction) return kLowestMs;
    for (auto&& bin : boost::histogram::indexed(m_latency)) {
      below += *bin;
      if (below >= total * fraction) return bin.bin().upper();
    }
    return kHighestMs;
  }

  void WriteReport() {
    json::object outcomes;
    uint64_t calls = 0;
    for (const auto& [outcome, count] : m_outcomes) {
      outcomes[outcome] = count;
      calls += count;
    }
    const std::string text =
        json::serialize(json::object{{"calls", calls},
                                     {"outcomes", outcomes},
                                     {"wrong_answers", m_wrong_responses},
                                     {"p50_ms", Quantile(0.5)},
                                     {"p90_ms", Quantile(0.9)},
                                     {"p99_ms", Quantile(0.99)}});
    if (FLAGS_output.empty()) {
      std::cout << text << std::endl;
    } else {
      std::ofstream(FLAGS_output) << text << '\n';
    }
  }

  static constexpr double kLowestMs = 0.05;
  static constexpr double kHighestMs = 60'000;
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;

  asio::io_context& m_context;
  UpstreamPool m_pool;
  std::mt19937_64 m_rng;
  std::vector<std::string> m_nodes;
  std::vector<MixEntry> m_mix;
  std::ofstream m_not_run;  // --not_run_file.
  std::ofstream m_calls;    // --calls_file.
  std::map<std::string, uint64_t> m_outcomes;
  uint64_t m_wrong_responses = 0;
  uint64_t m_in_flight = 0;
  bool m_stopped = false;
  // 400 logarithmic buckets, each 3.6% wide.
  boost::histogram::histogram<std::tuple<Axis>> m_latency{
      boost::histogram::make_histogram(Axis(400, kLowestMs, kHighestMs))};
};

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("A load generator that emulates callers.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  asio::io_context context(1);
  LoadGenerator load(context);
  if (!load.HasNodesAndMix()) {
    std::cerr << "load: --nodes or --mix is empty\n";
    return 2;
  }
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code error, int) {
    if (!error) load.StopEarly();
  });
  asio::co_spawn(context, load.Run(), asio::detached);
  context.run();
  return 0;
}
