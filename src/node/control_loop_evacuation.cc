// The part of ControlLoop that follows evacuations and the cold phases of the
// local backend servers.
//
// A watch shows that an evacuation was removed, a listing does not. A batch
// from a listing that lacks an evacuation of the batch in force therefore gets
// the revision of the listing. A node whose listing was before it had learned
// of the batch in force lists again.

#include <spdlog/fmt/ranges.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "kumquatmoor/node/control_loop.h"
#include "kumquatmoor/state/store_revision.h"
#include "node/health_probe.h"
#include "node/unix_time.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

// Interval at which a read of the complete state is asked for until it has
// shown the removal.
constexpr milliseconds kRemovalReadInterval{2'000};
// Several announcement intervals: a process that announces itself to a node
// that started later is a new one.
constexpr milliseconds kMaxUnseenTime{5'000};

}  // namespace

ControlLoop::~ControlLoop() = default;

void ControlLoop::StartHealthProbe() {
  if (m_options.cold_header.empty()) return;
  m_health_probe = std::make_unique<HealthProbe>(
      m_context, HealthProbeOptions{.cold_header = m_options.cold_header},
      [this] {
        std::vector<HealthProbe::Target> targets;
        for (const auto& backend : m_registry.Backends()) {
          std::string path = m_registry.SettingsOf(backend.service).health_path;
          if (path.empty()) continue;
          targets.push_back(
              {.address = backend.address, .path = std::move(path)});
        }
        return targets;
      },
      [this](const HealthProbe::Report& report) {
        const TimePoint now = Clock::now();
        if (!report.cold_left) {
          m_registry.NoteColdUnknown(report.address, now);
        } else {
          m_registry.NoteColdReport(report.address, *report.cold_left, now);
        }
        UpdateCold(now);
      });
  m_health_probe->Start();
}

std::optional<Batch> ControlLoop::NoteRead(const SourceUpdate& update,
                                           bool is_complete) {
  m_evacuation_read.revision = update.read_revision;
  if (!update.batch) return std::nullopt;
  m_evacuation_read.zones = EvacuatedZonesOf(*update.batch);
  Batch batch = *update.batch;
  const Batch& in_force = m_replica.CurrentBatch();
  const bool shows_removal = ShowsRemoval(m_evacuation_read, in_force);
  if (shows_removal &&
      (is_complete || batch.revision() <= in_force.revision())) {
    batch.set_revision(std::max(batch.revision(), update.read_revision));
    spdlog::info("evacuate: event=removed revision={} in_force={}",
                 FormatRevision(batch.revision()),
                 FormatRevision(in_force.revision()));
  }
  return batch;
}

void ControlLoop::CheckRemovedEvacuations(TimePoint now) {
  if (now < m_next_evacuation_check ||
      !ShowsRemoval(m_evacuation_read, m_replica.CurrentBatch())) {
    return;
  }
  m_next_evacuation_check = now + kRemovalReadInterval;
  m_unread_since = now;
}

void ControlLoop::NoteBatchInForce(const Batch& batch, TimePoint now) {
  const ZoneSet before = m_evacuated.At(now);
  m_evacuated.OnBatch(batch, now);
  const ZoneSet after = m_evacuated.At(now);
  if (before != after) {
    spdlog::info("evacuate: event=zones revision={} zones=\"{}\"",
                 FormatRevision(batch.revision()), fmt::join(after, " "));
  }
  std::map<std::string, ColdSettings> settings;
  for (const auto& service : batch.services()) {
    if (service.cold_rate() <= 0) continue;
    settings[service.service()] = {
        .rate = service.cold_rate(),
        .start = milliseconds(service.cold_start_ms()),
        .health_path = service.health_path()};
  }
  m_registry.SetColdSettings(std::move(settings));
}

void ControlLoop::UpdateCold(TimePoint now) {
  const auto changed = m_registry.UpdateCold(now);
  if (changed.empty()) return;
  for (const auto& backend : m_registry.Backends()) {
    if (std::find(changed.begin(), changed.end(), backend.instance) ==
        changed.end()) {
      continue;
    }
    const bool is_cold = backend.cold.IsCold(now);
    const bool is_known = backend.cold.until != TimePoint::max();
    const auto left = std::chrono::duration_cast<milliseconds>(
        is_cold && is_known ? backend.cold.until - now : milliseconds(0));
    spdlog::info(
        "cold: event={} service={} instance={} rate={} left_ms={} known={}",
        is_cold ? "cold" : "warm", backend.service, backend.instance,
        backend.cold.rate, left.count(), is_known);
  }
  PublishBackends();
}

// Publishes in any case: a report that is later than `at` ends the state in
// which the proxy has put the backend server.
void ControlLoop::OnColdUnknown(const std::string& address, TimePoint at) {
  m_registry.NoteColdUnknown(address, at);
  m_registry.UpdateCold(Clock::now());
  PublishBackends();
}

// Both clocks are this host's. If its wall clock was set back meanwhile, the
// process counts as new.
milliseconds ControlLoop::ProcessAge(const Announcement& announcement) const {
  const bool may_be_known = Clock::now() - m_started_at > kMaxUnseenTime;
  if (may_be_known || announcement.started_ms == 0) return milliseconds(0);
  return milliseconds(std::max<int64_t>(UnixMs() - announcement.started_ms, 0));
}

}  // namespace kumquatmoor
