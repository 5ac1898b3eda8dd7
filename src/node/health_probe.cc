// A probe that fails after its connection was established says nothing: the
// backend server may be busy, or have closed an idle connection. The next one
// uses a new connection. Only a connection that cannot be established is
// reported, as the process may have ended.

#include "node/health_probe.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "kumquatmoor/transport/endpoint_address.h"
#include "node/header_values.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

constexpr size_t kMaxResponseBytes = 16'384;
constexpr unsigned kOk = 200;

auto Into(beast::error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

}  // namespace

HealthProbe::HealthProbe(asio::io_context& context, HealthProbeOptions options,
                         std::function<std::vector<Target>()> targets,
                         std::function<void(const Report&)> on_report)
    : m_context(context),
      m_options(std::move(options)),
      m_targets(std::move(targets)),
      m_on_report(std::move(on_report)) {}

void HealthProbe::Start() { asio::co_spawn(m_context, Run(), asio::detached); }

asio::awaitable<void> HealthProbe::Run() {
  asio::steady_timer timer(m_context);
  while (true) {
    const auto targets = m_targets();
    if (targets.empty()) m_connections.clear();
    for (const auto& target : targets) {
      co_await Probe(target);
    }
    timer.expires_after(m_options.interval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> HealthProbe::Probe(const Target& target) {
  const auto endpoint = TcpEndpoint(target.address);
  if (!endpoint) co_return;
  auto found = m_connections.find(target.address);
  const bool is_new = found == m_connections.end();
  if (is_new) {
    found = m_connections
                .emplace(target.address,
                         Connection{.stream = beast::tcp_stream(m_context)})
                .first;
  }
  Connection& connection = found->second;
  connection.stream.expires_after(m_options.timeout);
  beast::error_code error;
  if (is_new) {
    co_await connection.stream.async_connect(*endpoint, Into(error));
  }
  if (error) {
    m_connections.erase(found);
    m_on_report({.address = target.address});
    co_return;
  }
  bool keep_open = false;
  const auto cold_left = co_await Ask(target, connection, &keep_open);
  if (!keep_open) m_connections.erase(found);
  if (cold_left)
    m_on_report({.address = target.address, .cold_left = cold_left});
}

asio::awaitable<std::optional<milliseconds>> HealthProbe::Ask(
    const Target& target, Connection& connection, bool* keep_open) const {
  http::request<http::empty_body> request(http::verb::get, target.path, 11);
  request.set(http::field::host, target.address);
  beast::error_code error;
  co_await http::async_write(connection.stream, request, Into(error));
  if (error) co_return std::nullopt;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxResponseBytes);
  co_await http::async_read(connection.stream, connection.buffer, parser,
                            Into(error));
  if (error) co_return std::nullopt;
  *keep_open = parser.get().keep_alive();
  if (parser.get().result_int() != kOk) co_return std::nullopt;
  const auto text = parser.get()[m_options.cold_header];
  const auto cold_ms = ParseCount({text.data(), text.size()});
  if (!cold_ms) co_return std::nullopt;
  co_return milliseconds(*cold_ms);
}

}  // namespace kumquatmoor
