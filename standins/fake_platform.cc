// fake_platform: stands in for the platform's key-value service in tests, the
// demo and the bench. docs/PLATFORM.md describes its protocol. POST /v1/test
// injects faults: {"down": true}, {"delay_ms": 50}, {"lose_answers": 3} (the
// call takes effect, the answer is lost), {"lapse_leases": true}, {"save":
// true} and {"restore": true} (an old copy comes back).

#include <gflags/gflags.h>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <map>
#include <stdexcept>
#include <string>

#include "kumquatmoor/transport/http_server.h"

DEFINE_string(address, "127.0.0.1:7100", "IP:PORT to listen on.");

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using kumquatmoor::HttpRequest;
using kumquatmoor::HttpResponse;
using kumquatmoor::MakeResponse;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr size_t kMaxValueBytes = 1U << 20U;
constexpr milliseconds kWatchPoll{10};

struct Value {
  std::string text;
  int64_t version = 0;
};

struct Lease {
  std::string owner;
  steady_clock::time_point expires;
};

// The connection ends without an answer.
struct NoAnswer : std::runtime_error {
  NoAnswer() : std::runtime_error("no answer") {}
};

HttpResponse Answer(unsigned status, const json::object& body) {
  return MakeResponse(status, json::serialize(body), "application/json");
}

std::string TextIn(const json::object& body, const char* key) {
  return std::string(body.at(key).as_string());
}

class FakePlatform {
 public:
  asio::awaitable<HttpResponse> Handle(HttpRequest& request,
                                       asio::ip::tcp::socket& socket) {
    const std::string target(request.target());
    json::error_code error;
    const auto value = json::parse(request.body(), error);
    if (error || !value.is_object()) {
      co_return Answer(400, {{"error", "the body is not a JSON object"}});
    }
    const json::object& body = value.as_object();
    ++m_calls[target];
    if (target == "/v1/test") co_return Inject(body);
    if (m_down) throw NoAnswer();
    asio::steady_timer timer(socket.get_executor());
    if (m_delay.count() > 0) {
      timer.expires_after(m_delay);
      co_await timer.async_wait(asio::use_awaitable);
    }
    if (target == "/v1/watch") {
      const std::string key = TextIn(body, "key");
      const int64_t after = body.at("after_version").to_number<int64_t>();
      const auto until = steady_clock::now() +
                         milliseconds(body.at("wait_ms").to_number<int64_t>());
      while (m_values[key].version <= after && steady_clock::now() < until) {
        if (m_down) throw NoAnswer();
        timer.expires_after(kWatchPoll);
        co_await timer.async_wait(asio::use_awaitable);
      }
    }
    HttpResponse response = Apply(target, body);
    if (m_lose_answers > 0 && target == "/v1/cas") {
      --m_lose_answers;
      throw NoAnswer();
    }
    co_return response;
  }

 private:
  HttpResponse Apply(const std::string& target, const json::object& body) {
    if (target == "/v1/get" || target == "/v1/watch") {
      const Value& value = m_values[TextIn(body, "key")];
      return Answer(200, {{"value", value.text}, {"version", value.version}});
    }
    if (target == "/v1/cas") return Swap(body);
    if (target == "/v1/lease") return HoldLease(body);
    if (target == "/v1/delete") {
      return Answer(200,
                    {{"deleted", m_values.erase(TextIn(body, "key")) > 0}});
    }
    return Answer(404, {{"error", "no such call"}});
  }

  HttpResponse Swap(const json::object& body) {
    Value& value = m_values[TextIn(body, "key")];
    const int64_t expected = body.at("expected_version").to_number<int64_t>();
    std::string text = TextIn(body, "value");
    if (text.size() > kMaxValueBytes) {
      return Answer(413, {{"error", "the value is larger than 1 MiB"}});
    }
    if (value.version != expected) {
      return Answer(409, {{"version", value.version}});
    }
    value.text = std::move(text);
    value.version = ++m_last_version;
    return Answer(200, {{"version", value.version}});
  }

  HttpResponse HoldLease(const json::object& body) {
    Lease& lease = m_leases[TextIn(body, "name")];
    const std::string owner = TextIn(body, "owner");
    const auto now = steady_clock::now();
    const bool free = lease.owner.empty() || lease.expires <= now;
    if (!free && lease.owner != owner) return Answer(200, {{"held", false}});
    lease.owner = owner;
    lease.expires = now + milliseconds(body.at("ttl_ms").to_number<int64_t>());
    return Answer(200, {{"held", true}});
  }

  HttpResponse Inject(const json::object& body) {
    if (const auto* down = body.if_contains("down")) m_down = down->as_bool();
    if (const auto* delay = body.if_contains("delay_ms")) {
      m_delay = milliseconds(delay->to_number<int64_t>());
    }
    if (const auto* lose = body.if_contains("lose_answers")) {
      m_lose_answers = lose->to_number<int64_t>();
    }
    if (body.contains("lapse_leases")) m_leases.clear();
    if (body.contains("save")) m_saved = m_values;
    if (body.contains("restore")) m_values = m_saved;
    json::object calls;
    for (const auto& [target, count] : m_calls) calls[target] = count;
    return Answer(200, {{"calls", calls}});
  }

  std::map<std::string, Value> m_values;
  std::map<std::string, Value> m_saved;  // An old copy to restore.
  std::map<std::string, Lease> m_leases;
  std::map<std::string, uint64_t> m_calls;
  int64_t m_last_version = 0;
  bool m_down = false;
  milliseconds m_delay{0};
  int64_t m_lose_answers = 0;
};

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("A stand-in for the platform's key-value service.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  asio::io_context context(1);
  FakePlatform platform;
  kumquatmoor::HttpServer server(
      context, {.address = FLAGS_address},
      kumquatmoor::ServeMessages(
          {.max_body_bytes = 4U << 20U},
          [&](HttpRequest& request, asio::ip::tcp::socket& socket) {
            return platform.Handle(request, socket);
          }));
  if (auto error = server.Start()) {
    std::cerr << FLAGS_address << ": " << error.message() << "\n";
    return 1;
  }
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
  context.run();
  return 0;
}
