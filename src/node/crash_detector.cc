// The first run of an instance whose connection ends begins a check. Others
// that end within kCollectTime join it. If a run of the same instance goes on
// after that, the process lives. Otherwise a connection to its address tells:
// only a refused one means that the process is gone.

#include "node/crash_detector.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <utility>

#include "kumquatmoor/transport/endpoint_address.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// The kernel closes the connections of a process that ends together; the node
// reads their ends one after another.
constexpr milliseconds kCollectTime{10};
constexpr milliseconds kConnectTimeout{250};

}  // namespace

CrashDetector::RunEntry CrashDetector::Begin(Run run) {
  const uint64_t id = ++m_last_id;
  m_runs->emplace(id,
                  StartedRun{.run = std::move(run), .started = Clock::now()});
  return {m_runs, id};
}

asio::awaitable<bool> CrashDetector::HasCrashed(const RunEntry& entry) {
  const Run run = m_runs->extract(entry.m_id).mapped().run;
  boost::system::error_code ignored;
  const ProcessKey process{run.service, run.version, run.instance};
  if (const auto found = m_checks.find(process); found != m_checks.end()) {
    const std::shared_ptr<Check> check = found->second;
    check->crash.keys.push_back(run.key);
    co_await check->decided.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    co_return check->has_crashed;
  }
  const auto check = std::make_shared<Check>(m_context);
  check->crash = {.service = run.service,
                  .version = run.version,
                  .instance = run.instance,
                  .keys = {run.key}};
  check->started = Clock::now();
  check->decided.expires_at(TimePoint::max());
  m_checks.emplace(process, check);
  check->has_crashed = co_await Decide(run.address, *check);
  m_checks.erase(process);
  if (check->has_crashed && m_handler) m_handler(check->crash);
  check->decided.cancel();
  co_return check->has_crashed;
}

asio::awaitable<bool> CrashDetector::Decide(const std::string& address,
                                            const Check& check) {
  boost::system::error_code error;
  asio::steady_timer timer(m_context);
  timer.expires_after(kCollectTime);
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
  if (AnyRunGoesOn(check)) co_return false;
  const auto endpoint = TcpEndpoint(address);
  if (!endpoint) co_return false;
  boost::beast::tcp_stream stream(m_context);
  stream.expires_after(kConnectTimeout);
  co_await stream.async_connect(
      *endpoint, asio::redirect_error(asio::use_awaitable, error));
  co_return error == asio::error::connection_refused;
}

bool CrashDetector::AnyRunGoesOn(const Check& check) const {
  return std::any_of(m_runs->begin(), m_runs->end(), [&](const auto& item) {
    const StartedRun& other = item.second;
    return other.run.service == check.crash.service &&
           other.run.version == check.crash.version &&
           other.run.instance == check.crash.instance &&
           other.started < check.started;
  });
}

}  // namespace kumquatmoor
