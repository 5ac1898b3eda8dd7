#include "node/denial_fixture.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <sstream>
#include <utility>

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr char kCallerAddress[] = "127.0.0.1:17240";
constexpr char kBackendAddress[] = "127.0.0.1:17242";
constexpr char kRemoteCallerAddress[] = "127.0.0.1:17243";
constexpr char kRemoteDataAddress[] = "127.0.0.1:17244";

}  // namespace

DenialFixture::DenialFixture(bool configured)
    : m_proxy(m_context, Options("n1", kCallerAddress, kDataAddress), nullptr,
              &m_outcomes),
      m_remote(m_context,
               Options("n2", kRemoteCallerAddress, kRemoteDataAddress), nullptr,
               &m_outcomes),
      m_backend(
          m_context, HttpServerOptions{.address = kBackendAddress},
          [this](tcp::socket socket) { return Serve(std::move(socket)); }),
      m_stranger(
          m_context, HttpServerOptions{.address = kStrangerAddress},
          [this](tcp::socket socket) { return Serve(std::move(socket)); }) {
  REQUIRE_FALSE(m_proxy.Start());
  REQUIRE_FALSE(m_remote.Start());
  REQUIRE_FALSE(m_backend.Start());
  REQUIRE_FALSE(m_stranger.Start());
  m_proxy.SetBackends({{.service = "s",
                        .version = "v1",
                        .instance = "i-1",
                        .address = kBackendAddress,
                        .slots = 2}});
  if (configured) Configure(1, {});
  m_thread = std::thread([this] {
    const auto work = asio::make_work_guard(m_context);
    m_context.run();
  });
}

DenialFixture::~DenialFixture() {
  m_context.stop();
  m_thread.join();
}

void DenialFixture::Configure(uint64_t revision, const DenialOptions& options) {
  Batch batch;
  batch.set_revision(revision);
  ServiceConfig* service = batch.add_services();
  service->set_service("s");
  Row* row = service->add_rows();
  row->set_version("*");
  row->set_weight(100);
  row->set_from_weight(100);
  for (const bool is_public : {false, true}) {
    if (is_public && options.keys.empty()) continue;
    HttpRoute* route = batch.add_routes();
    route->set_name(is_public ? "p" : "r");
    route->set_host("Huts.example");
    route->set_prefix(is_public ? "/p/" : "/a/");
    route->set_max_attempts(2);
    route->set_is_public(is_public);
    WeightedService* part = route->add_parts();
    part->set_service("s");
    part->set_weight(1);
  }
  batch.set_requires_keys(!options.keys.empty());
  for (const auto& [name, key] : options.keys) {
    Organisation* organisation = batch.add_organisations();
    organisation->set_name(name);
    organisation->add_key_hashes(HashApiKey(key));
  }
  batch.mutable_caller_limits()->set_max_header_bytes(options.header_limit);
  batch.mutable_caller_limits()->set_max_body_bytes(options.body_limit);
  MemberRecord member;
  member.set_id("n1");
  member.set_zone("z");
  member.set_data_address(options.data_address);
  Endpoint* endpoint = member.add_endpoints();
  endpoint->set_service("s");
  endpoint->set_version("v1");
  endpoint->set_slots(2);
  const auto routes = BuildRoutes(batch, {}, std::vector{member}, "z");
  m_proxy.SetRoutes(routes);
  m_remote.SetRoutes(routes);
  if (!options.keys.empty()) Confirm(milliseconds(0));
}

void DenialFixture::JoinWithoutConfiguration() {
  const auto routes =
      BuildRoutes(Batch(), {}, std::vector<MemberRecord>{}, "z");
  m_proxy.SetRoutes(routes);
  m_remote.SetRoutes(routes);
}

void DenialFixture::SetBehind(bool is_behind) {
  m_proxy.SetBehindSince(is_behind ? std::optional(Clock::now())
                                   : std::nullopt);
}

void DenialFixture::Confirm(milliseconds age) {
  m_proxy.SetConfirmedAt(BootClock::now() - age);
  m_remote.SetConfirmedAt(BootClock::now() - age);
}

std::string DenialFixture::Metrics() {
  std::promise<std::string> text;
  m_proxy.ReadMetrics([&](const CallMetrics& metrics) {
    text.set_value(metrics.ToPrometheus());
  });
  return text.get_future().get();
}

http::request_header<> DenialFixture::LastHead() {
  const std::lock_guard lock(m_mutex);
  return m_last_head;
}

ProxyOptions DenialFixture::Options(const char* id, const char* caller_address,
                                    const char* data_address) {
  ProxyOptions options;
  options.id = id;
  options.zone = "z";
  options.caller_address = caller_address;
  options.data_address = data_address;
  options.headers = {.request_id = "Id",
                     .deadline_ms = "Left",
                     .expected_instance = "Expect-Instance",
                     .call_id_separator = ".",
                     .not_run = "Not-Run",
                     .signature = "Signed",
                     .authorization = "Auth",
                     .authorization_scheme = "Token",
                     .organisation = "Org"};
  options.key_revocation = milliseconds(5'000);
  options.admission.waiting_per_slot = 4;
  return options;
}

asio::awaitable<void> DenialFixture::Serve(tcp::socket socket) {
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer;
  while (true) {
    http::request_parser<http::string_body> parser;
    parser.header_limit(1U << 20U);
    parser.body_limit(boost::none);
    co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
    std::string bytes = reply;
    if (const size_t at = bytes.find("ID"); at != std::string::npos) {
      const auto id = parser.get()["Id"];
      bytes.replace(at, 2, std::string(id));
    }
    {
      const std::lock_guard lock(m_mutex);
      m_last_head = parser.get().base();
    }
    asio::steady_timer timer(m_context);
    while (holds && parser.get()["Id"] == "held") {
      timer.expires_after(milliseconds(5));
      co_await timer.async_wait(asio::use_awaitable);
    }
    co_await asio::async_write(stream, asio::buffer(bytes),
                               asio::use_awaitable);
  }
}

RawCaller::RawCaller(uint16_t port) : m_stream(m_context) {
  m_stream.connect({asio::ip::make_address("127.0.0.1"), port});
}

void RawCaller::Send(const std::vector<std::string>& parts) {
  bool first = true;
  for (const auto& part : parts) {
    if (!std::exchange(first, false)) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    beast::error_code error;
    asio::write(m_stream.socket(), asio::buffer(part), error);
  }
}

void RawCaller::CloseForWriting() {
  beast::error_code ignored;
  m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

unsigned RawCaller::Status() { return Statuses().back(); }

std::vector<unsigned> RawCaller::Statuses() {
  std::vector<unsigned> statuses;
  do {
    http::response<http::string_body> response;
    beast::error_code error;
    http::read(m_stream, m_buffer, response, error);
    statuses.push_back(error ? 0 : response.result_int());
  } while (statuses.back() == 100);
  return statuses;
}

std::string Head(const std::string& line, const std::string& fields) {
  static int next_id = 0;
  return line + "\r\nHost: huts.example\r\nLeft: 2000\r\nId: q" +
         std::to_string(next_id++) + "\r\n" + fields;
}

std::string PaddedHead(std::string head, size_t size) {
  const std::string name = "Pad: ";
  head += name;
  return head + std::string(size - head.size() - 4, 'p') + "\r\n\r\n";
}

std::string LargeHead(std::string head, size_t size) {
  while (head.size() < size) {
    head += "Pad: " + std::string(993, 'p') + "\r\n";
  }
  return head + "\r\n";
}

std::string Chunk(size_t size, const std::string& extension) {
  std::ostringstream text;
  text << std::hex << size << extension << "\r\n"
       << std::string(size, 'b') << "\r\n";
  return text.str();
}

}  // namespace kumquatmoor
