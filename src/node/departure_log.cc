// Each write is a compare-and-swap of the node's key, whose value is the whole
// entry. The version is that of the last write. It is not known after a start
// of the node, nor after a response that was lost: the write then fails with a
// conflict, the entry is read, and what it has is not written again.

#include "kumquatmoor/node/departure_log.h"

#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <span>
#include <utility>

#include "node/unix_time.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

bool IsSame(const LeavingInstance& a, const LeavingInstance& b) {
  return a.instance() == b.instance() && a.started_ms() == b.started_ms();
}

}  // namespace

DepartureLog::DepartureLog(DepartureLogOptions options, Platform* platform)
    : m_options(std::move(options)),
      m_platform(platform),
      m_rng(m_options.seed) {}

DepartureLog::~DepartureLog() { Stop(); }

void DepartureLog::Stop() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
    m_changed.notify_all();
  }
  if (m_thread.joinable()) m_thread.join();
}

bool DepartureLog::Write(const LeavingInstance& leaving,
                         std::function<void()> written) {
  const std::lock_guard lock(m_mutex);
  if (HasDeparture(m_written, leaving)) return true;
  const auto same = std::find_if(
      m_pending.begin(), m_pending.end(),
      [&](const Pending& pending) { return IsSame(pending.leaving, leaving); });
  if (same != m_pending.end()) {
    same->written = std::move(written);
    return false;
  }
  m_pending.push_back({.leaving = leaving,
                       .since = steady_clock::now(),
                       .written = std::move(written)});
  if (!m_thread.joinable() && !m_stopping) {
    m_thread = std::thread([this] { Run(); });
  }
  m_changed.notify_all();
  return false;
}

asio::awaitable<bool> DepartureLog::AwaitWritten(LeavingInstance leaving,
                                                 milliseconds timeout) {
  const auto executor = co_await asio::this_coro::executor;
  const auto timer = std::make_shared<asio::steady_timer>(executor);
  const auto is_written = std::make_shared<bool>(false);
  timer->expires_after(timeout);
  std::function<void()> written = [executor, timer, is_written] {
    asio::post(executor, [timer, is_written] {
      *is_written = true;
      timer->cancel();
    });
  };
  if (Write(leaving, std::move(written))) co_return true;
  boost::system::error_code cancelled;
  co_await timer->async_wait(
      asio::redirect_error(asio::use_awaitable, cancelled));
  if (!*is_written) {
    const std::lock_guard lock(m_mutex);
    ++m_late_count;
  }
  co_return *is_written;
}

void DepartureLog::WriteAgain() {
  const std::lock_guard lock(m_mutex);
  if (m_written.leaving.empty()) return;
  m_must_read = true;
  for (const auto& leaving : std::exchange(m_written.leaving, {})) {
    m_pending.push_back({.leaving = leaving, .since = steady_clock::now()});
  }
  m_changed.notify_all();
}

std::string DepartureLog::Metrics() const {
  const std::lock_guard lock(m_mutex);
  return fmt::format(
      "kumquatmoor_departures_written_total {}\n"
      "kumquatmoor_departures_late_total {}\n"
      "kumquatmoor_departures_pending {}\n",
      m_write_count, m_late_count, m_pending.size());
}

void DepartureLog::Run() {
  milliseconds backoff = m_options.initial_backoff;
  std::unique_lock lock(m_mutex);
  while (!m_stopping) {
    DropOld(steady_clock::now());
    if (m_pending.empty()) {
      m_changed.wait(lock);
      continue;
    }
    lock.unlock();
    const bool succeeded = WritePending();
    lock.lock();
    if (succeeded) {
      backoff = m_options.initial_backoff;
      continue;
    }
    // Full jitter: many backend servers may leave at the same moment.
    std::uniform_int_distribution<int64_t> jitter(1, backoff.count());
    m_changed.wait_for(lock, milliseconds(jitter(m_rng)),
                       [this] { return m_stopping; });
    backoff = std::min(backoff * 2, m_options.max_backoff);
  }
}

void DepartureLog::DropOld(TimePoint now) {
  std::erase_if(m_pending, [&](const Pending& pending) {
    return now - pending.since > kDepartureRetention;
  });
}

bool DepartureLog::WritePending() {
  std::vector<LeavingInstance> leaving;
  bool must_read = false;
  {
    const std::lock_guard lock(m_mutex);
    must_read = m_must_read;
    for (const auto& pending : m_pending) leaving.push_back(pending.leaving);
    // What an entry cannot hold is written with the next one.
    if (leaving.size() > kMaxDepartures) leaving.resize(kMaxDepartures);
  }
  if (must_read && !ReadEntry()) return false;
  DepartureEntry entry = m_entry;
  entry.member_id = m_options.member_id;
  entry.zone = m_options.zone;
  entry.written_ms = UnixMs();
  bool changed = m_version == 0;
  for (const auto& instance : leaving) {
    changed = AddDeparture(instance, &entry) || changed;
  }
  if (changed) {
    auto written = Attempt([&] {
      return m_platform->CompareAndSwap(DepartureKey(m_options.member_id),
                                        m_version, FormatDepartures(entry));
    });
    if (const auto* failure = std::get_if<Failure>(&written)) {
      spdlog::info("departures: event=write_failed reason=\"{}\"",
                   failure->message);
      return failure->code == FailureCode::kConflict && ReadEntry();
    }
    m_version = std::get<uint64_t>(written);
    m_entry = std::move(entry);
  }
  Complete(leaving);
  return true;
}

bool DepartureLog::ReadEntry() {
  const std::string key = DepartureKey(m_options.member_id);
  auto read = Attempt([&] { return m_platform->Get(key); });
  const auto* stored = std::get_if<PlatformEntry>(&read);
  if (stored == nullptr) return false;
  {
    const std::lock_guard lock(m_mutex);
    m_must_read = false;
  }
  m_version = stored->version;
  const PlatformItem item{.key = key, .entry = *stored};
  const auto parsed = ParseDepartures(std::span(&item, 1));
  m_entry = parsed.empty() ? DepartureEntry() : parsed.front();
  return true;
}

void DepartureLog::Complete(const std::vector<LeavingInstance>& written) {
  const std::lock_guard lock(m_mutex);
  m_written = m_entry;
  const auto now = steady_clock::now();
  std::erase_if(m_pending, [&](const Pending& pending) {
    const bool is_written = std::any_of(
        written.begin(), written.end(), [&](const LeavingInstance& leaving) {
          return IsSame(leaving, pending.leaving);
        });
    if (!is_written) return false;
    ++m_write_count;
    spdlog::info(
        "departures: event=written instance={} started_ms={} elapsed_ms={}",
        pending.leaving.instance(), pending.leaving.started_ms(),
        std::chrono::duration_cast<milliseconds>(now - pending.since).count());
    if (pending.written) pending.written();
    return true;
  });
}

}  // namespace kumquatmoor
