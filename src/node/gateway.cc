#include "kumquatmoor/node/gateway.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

// Interval at which the thread checks whether the node is a gateway, and
// whether it has to stop.
constexpr milliseconds kPollInterval{100};
// Interval at which a command is posted again while the control loop's ring is
// full.
constexpr milliseconds kPostRetryInterval{10};
// After a longer time without a read, a watch would return every version of the
// configuration since, or fail as the history is gone.
constexpr milliseconds kMaxTimeUnread{3'000};

}  // namespace

Gateway::Gateway(GatewayOptions options, ControlLoop* loop, Platform* platform,
                 ConfigurationSource* source)
    : m_options(options),
      m_loop(loop),
      m_platform(platform),
      m_source(source),
      m_rng(options.seed),
      m_backoff(options.initial_backoff) {}

Gateway::~Gateway() { Stop(); }

void Gateway::Start() {
  std::uniform_int_distribution<int64_t> jitter(
      0, m_options.directory_interval.count());
  m_next_directory_update =
      std::chrono::steady_clock::now() + milliseconds(jitter(m_rng));
  m_thread = std::thread([this] { Run(); });
}

void Gateway::Stop() {
  m_stopping = true;
  if (m_thread.joinable()) m_thread.join();
}

void Gateway::SleepFor(milliseconds duration) {
  const auto until = std::chrono::steady_clock::now() + duration;
  while (!m_stopping) {
    const auto left = until - std::chrono::steady_clock::now();
    if (left <= milliseconds(0)) return;
    std::this_thread::sleep_for(
        std::min<std::chrono::nanoseconds>(left, kPollInterval));
  }
}

// Full jitter, so that the gateways do not retry at the same moment.
void Gateway::BackOff() {
  std::uniform_int_distribution<int64_t> jitter(1, m_backoff.count());
  SleepFor(milliseconds(jitter(m_rng)));
  m_backoff = std::min(m_backoff * 2, m_options.max_backoff);
}

bool Gateway::IsSelected() {
  return m_loop->Run<bool>([](ControlLoop& loop) { return loop.IsGateway(); })
      .value_or(false);
}

void Gateway::Run() {
  auto last_read = std::chrono::steady_clock::now();
  while (!m_stopping) {
    if (IsSelected()) {
      SyncWithPlatform();
      last_read = std::chrono::steady_clock::now();
    } else {
      SleepFor(kPollInterval);
      const auto unread = std::chrono::steady_clock::now() - last_read;
      if (unread > kMaxTimeUnread) m_loaded = false;
    }
  }
}

void Gateway::RecordFailure(const Failure& failure) {
  if (m_reachable) {
    spdlog::warn("gateway: event=platform_lost reason=\"{}\"", failure.message);
  }
  m_reachable = false;
  m_loop->Post([](ControlLoop& loop) { loop.SetPlatformReachable(false); });
}

// The platform responds, so the node stays a gateway. All gateways meet this at
// the same moment when the store comes back from an older copy, hence the pause
// before the complete state is read. Directory entries may be lost, too.
void Gateway::OnHistoryLost(const Failure& failure) {
  spdlog::warn("gateway: event=history_lost reason=\"{}\"", failure.message);
  m_loaded = false;
  m_next_directory_update =
      std::min(m_next_directory_update,
               std::chrono::steady_clock::now() + m_options.initial_backoff);
  BackOff();
}

bool Gateway::NeedsCompleteRead() {
  return m_loop
      ->Run<bool>([](ControlLoop& loop) { return loop.NeedsCompleteRead(); })
      .value_or(false);
}

void Gateway::SyncWithPlatform() {
  if (NeedsCompleteRead()) m_loaded = false;
  std::optional<TimePoint> complete_since;
  if (!m_loaded) complete_since = Clock::now();
  const BootTime began = BootClock::now();
  auto update = Attempt([&] {
    return m_loaded ? m_source->Await(m_options.watch_timeout)
                    : m_source->Load();
  });
  if (const auto* failure = std::get_if<Failure>(&update)) {
    if (failure->code == FailureCode::kNotFound) {
      OnHistoryLost(*failure);
      return;
    }
    RecordFailure(*failure);
    BackOff();
    return;
  }
  if (!m_reachable) {
    spdlog::info("gateway: event=platform_back");
    m_loop->Post([](ControlLoop& loop) { loop.SetPlatformReachable(true); });
  }
  m_reachable = true;
  m_backoff = m_options.initial_backoff;
  m_loaded = true;
  Deliver(std::get<SourceUpdate>(std::move(update)), complete_since, began);
  ReportProgress();
  MaintainDirectory();
  SleepFor(m_options.watch_pause);
}

// An update that was dropped would be missing for good, since the next read
// returns the changes after it.
void Gateway::Deliver(SourceUpdate update,
                      std::optional<TimePoint> complete_since, BootTime began) {
  if (update.batch) m_read_batch = StampOf(*update.batch);
  const auto shared = std::make_shared<const SourceUpdate>(std::move(update));
  const auto apply = [shared, complete_since, began,
                      read = m_read_batch](ControlLoop& loop) {
    loop.ApplySourceUpdate(*shared, complete_since);
    loop.ConfirmRead(began, read);
    loop.SetStoreLoaded();
  };
  while (!m_loop->Post(apply)) {
    if (m_stopping) return;
    std::this_thread::sleep_for(kPostRetryInterval);
  }
}

void Gateway::ReportProgress() {
  const auto progress = m_loop->Run<MeshProgress>(
      [](ControlLoop& loop) { return loop.Progress(); });
  if (!progress) return;
  auto written = Attempt([&] { return m_source->Report(*progress); });
  const auto* failure = std::get_if<Failure>(&written);
  // On a conflict another gateway has written first. Its values arrive with the
  // next update.
  if (failure == nullptr || failure->code == FailureCode::kConflict) return;
  spdlog::warn("gateway: event=report_failed reason=\"{}\"", failure->message);
}

void Gateway::MaintainDirectory() {
  const auto now = std::chrono::steady_clock::now();
  if (now < m_next_directory_update) return;
  m_next_directory_update = now + m_options.directory_interval;
  struct DirectoryState {
    DirectoryPlan plan;
    MemberRecord self;
  };
  const auto state = m_loop->Run<DirectoryState>([](ControlLoop& loop) {
    return DirectoryState{.plan = loop.PlanOwnDirectory(),
                          .self = loop.GetReplica().Self()};
  });
  if (!state) return;
  const auto log_result = [](const auto& outcome, const std::string& key) {
    const auto* failure = std::get_if<Failure>(&outcome);
    spdlog::info("directory: event=written key={} problem=\"{}\"", key,
                 failure == nullptr ? "" : failure->message);
  };
  if (state->plan.write_self) {
    const std::string key = DirectoryKey(state->self.id());
    log_result(Attempt([&] {
                 return m_platform->CompareAndSwap(
                     key, state->plan.self_version,
                     FormatDirectoryEntry(state->self));
               }),
               key);
  }
  std::vector<std::string> removed = state->plan.remove_departures;
  for (const auto& entry : state->plan.remove) removed.push_back(entry.key);
  for (const auto& key : removed) {
    log_result(Attempt([&] { return m_platform->Delete(key); }), key);
  }
}

}  // namespace kumquatmoor
