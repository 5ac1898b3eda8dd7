// Log lines and metrics of ControlLoop.

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "kumquatmoor/node/control_loop.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kDelayLogInterval{5'000};

const char* PathName(BatchPath path) {
  switch (path) {
    case BatchPath::kPushedDelta:
      return "pushed_delta";
    case BatchPath::kSyncDelta:
      return "sync_delta";
    case BatchPath::kSyncBatch:
      return "sync_batch";
    case BatchPath::kOffered:
      break;
  }
  return "offered";
}

}  // namespace

void ControlLoop::LogBatchInForce() const {
  const Batch& batch = m_replica.CurrentBatch();
  const BatchArrival& arrival = m_replica.Arrival();
  milliseconds behind{0};
  if (arrival.behind_since) {
    behind = std::chrono::duration_cast<milliseconds>(Clock::now() -
                                                      *arrival.behind_since);
  }
  spdlog::info(
      "batch: event=in_force revision={} author=\"{}\" path={} behind_ms={}",
      FormatRevision(batch.revision()), batch.author(), PathName(arrival.path),
      behind.count());
}

void ControlLoop::LogChanges() {
  const uint64_t revision = m_replica.CurrentBatch().revision();
  if (revision != m_logged_revision) {
    m_logged_revision = revision;
    LogBatchInForce();
  }
  const auto& warnings = m_replica.Warnings();
  for (; m_logged_warnings < warnings.size(); ++m_logged_warnings) {
    spdlog::warn("batch: event=warning message=\"{}\"",
                 warnings[m_logged_warnings]);
  }
}

void ControlLoop::LogDelays(TimePoint now) {
  if (now < m_next_delay_log) return;
  m_next_delay_log = now + kDelayLogInterval;
  const ProbeDelays probes = m_replica.TakeProbeDelays();
  const milliseconds tick_delay = std::exchange(m_max_tick_delay, {});
  spdlog::info(
      "control: event=delays max_round_trip_ms={} probes_acknowledged={} "
      "probes_failed={} max_tick_delay_ms={} behind_ms={}",
      probes.max_round_trip.count(), probes.acknowledged, probes.failed,
      tick_delay.count(), m_replica.TimeBehind(now).count());
}

std::string ControlLoop::ControlMetrics() const {
  const auto line = [](const char* name, uint64_t value) {
    return fmt::format("{} {}\n", name, value);
  };
  return line("kumquatmoor_revision", m_published_revision) +
         line("kumquatmoor_in_force_since_ms",
              static_cast<uint64_t>(m_in_force_ms)) +
         line("kumquatmoor_behind_ms",
              static_cast<uint64_t>(
                  m_replica.TimeBehind(Clock::now()).count())) +
         line("kumquatmoor_batches_held_total", m_replica.HeldBackCount()) +
         line("kumquatmoor_carried_moves",
              CountCarriedMoves(m_replica.CurrentBatch())) +
         line("kumquatmoor_members", m_replica.Members().size()) +
         line("kumquatmoor_ready", m_ready ? 1 : 0) +
         line("kumquatmoor_control_sent_bytes_total", m_socket.BytesSent()) +
         line("kumquatmoor_control_received_bytes_total",
              m_socket.BytesReceived()) +
         line("kumquatmoor_quota_buckets", m_quotas.Buckets()) +
         line("kumquatmoor_crash_suspects", m_replica.Crashes().All().size()) +
         line("kumquatmoor_blocked_keys", m_replica.Crashes().BlockedCount()) +
         line("kumquatmoor_control_sent_total", m_socket.DatagramsSent());
}

}  // namespace kumquatmoor
