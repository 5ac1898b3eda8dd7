// The part of ControlLoop that takes part in moves and acknowledges revisions:
// reports of outcomes, decisions, the close of outgoing versions, and the
// acknowledgement tree of the zone.

#include <spdlog/spdlog.h>

#include <utility>

#include "kumquatmoor/node/control_loop.h"
#include "kumquatmoor/state/batch.h"
#include "node/unix_time.h"

namespace kumquatmoor {

void ControlLoop::UpdateMoves(TimePoint now) {
  if (!m_ready) return;
  for (auto& report : m_move_controller.TakeReports(m_replica, now)) {
    Datagram datagram = MakeDatagram(Datagram::EVIDENCE);
    *datagram.mutable_evidence() = std::move(report.counts);
    if (report.receiver == m_options.replica.id) {
      m_move_controller.OnOutcomeCounts(
          report.receiver, m_options.replica.started_ms, datagram.evidence());
    } else {
      SendTo(report.receiver, datagram);
    }
  }
  const ClockReading time{.now = now, .unix_ms = UnixMs()};
  bool marks_changed = false;
  for (const auto& mark : m_move_controller.Analyze(m_replica, time)) {
    marks_changed = m_replica.JoinMark(mark) || marks_changed;
  }
  // Sends a decision at once instead of at the next tick.
  if (marks_changed) Send(m_replica.Tick(now));
  ReopenVersions();
  CloseOutgoingVersions();
}

// True if the version loses its whole share by a move that was not rolled back.
bool ControlLoop::IsOutgoingVersion(const std::string& service,
                                    const std::string& version) const {
  const ServiceConfig* config = FindService(m_replica.CurrentBatch(), service);
  if (config == nullptr || !HasMove(*config)) return false;
  const Row* row = RowOf(*config, version);
  if (row == nullptr || !IsOutgoing(*row)) return false;
  return !m_replica.Marks().IsRecalled(service, config->move_revision());
}

// Reopens a closed version if the move was rolled back after all, or if a later
// table gives the version a share again.
void ControlLoop::ReopenVersions() {
  bool reopened = false;
  std::erase_if(m_closing, [&](const auto& closed) {
    const auto& [service, version] = closed;
    if (IsOutgoingVersion(service, version)) return false;
    spdlog::info("move: event=reopened service={} version={}", service,
                 version);
    m_proxy->OpenVersion(service, version);
    m_registry.SetRetired(service, version, false);
    reopened = true;
    return true;
  });
  if (reopened) PublishBackends();
}

// Once a move is settled in every zone, local backend servers of outgoing
// versions accept no new requests. They are published as retired when their
// last request has ended.
void ControlLoop::CloseOutgoingVersions() {
  for (const auto& backend : m_registry.Backends()) {
    if (!IsOutgoingVersion(backend.service, backend.version)) continue;
    const ServiceConfig* config =
        FindService(m_replica.CurrentBatch(), backend.service);
    const auto& progress =
        m_replica.Marks().Progress(config->service(), config->move_revision());
    if (!IsSettledEverywhere(progress, m_replica.Members())) continue;
    if (!m_closing.emplace(backend.service, backend.version).second) continue;
    spdlog::info("move: event=closing service={} version={}", backend.service,
                 backend.version);
    m_proxy->CloseVersion(
        backend.service, backend.version,
        [this, service = backend.service, version = backend.version] {
          Post([service, version](ControlLoop& loop) {
            loop.OnVersionClosed(service, version);
          });
        });
  }
}

void ControlLoop::OnVersionClosed(const std::string& service,
                                  const std::string& version) {
  if (m_closing.count({service, version}) == 0) return;  // Reopened since.
  spdlog::info("move: event=retired service={} version={}", service, version);
  m_registry.SetRetired(service, version, true);
  PublishBackends();
}

std::vector<std::string> ControlLoop::OwnZoneIds() const {
  std::vector<std::string> ids;
  const auto& alive = m_replica.Members().AliveIn(m_options.replica.zone);
  for (const auto* member : alive) ids.push_back(member->id());
  return ids;
}

void ControlLoop::UpdateAckTree(TimePoint now) {
  const uint64_t alive_version = m_replica.Members().AliveVersion();
  if (alive_version != m_ack_tree_version) {
    m_ack_tree_version = alive_version;
    m_ack_tree.SetMembers(OwnZoneIds());
  }
  const uint64_t revision = m_published_revision;
  const auto parent = m_ack_tree.ParentIfReportDue(revision, now);
  if (!parent) return;
  Datagram datagram = MakeDatagram(Datagram::SUBTREE);
  *datagram.mutable_subtree() = m_ack_tree.Report(revision, now);
  SendTo(*parent, datagram);
}

SubtreeReport ControlLoop::ZoneSubtree() const {
  return m_ack_tree.Report(m_published_revision, Clock::now());
}

std::vector<MemberRecord> ControlLoop::ZoneRoots() const {
  const MemberList& members = m_replica.Members();
  std::vector<MemberRecord> roots;
  for (const auto& zone : members.Zones()) {
    std::vector<std::string> ids;
    for (const auto* member : members.AliveIn(zone)) {
      ids.push_back(member->id());
    }
    if (!ids.empty()) roots.push_back(*members.Find(AckTreeRoot(ids)));
  }
  return roots;
}

}  // namespace kumquatmoor
