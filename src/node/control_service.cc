#include "kumquatmoor/node/control_service.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "kumquatmoor/node/status.h"
#include "node/unix_time.h"

namespace kumquatmoor {
namespace {

constexpr int kMaxMessageBytes = 32 << 20;
// Threads of gRPC that poll for requests.
constexpr int kMaxPollers = 2;

grpc::Status Busy() {
  return {grpc::StatusCode::RESOURCE_EXHAUSTED,
          "the node is busy; try again in a second"};
}

// The part of a GetStatus reply that the control thread collects.
struct StatusParts {
  StatusReply reply;
  std::string own_id;
  std::vector<MemberRecord> roots;
  SubtreeReport own_report;
  std::map<std::string, uint32_t> live_by_zone;
};

StatusParts CollectStatus(ControlLoop& loop) {
  const Replica& replica = loop.GetReplica();
  StatusParts parts;
  parts.own_id = replica.Self().id();
  parts.roots = loop.ZoneRoots();
  parts.own_report = loop.ZoneSubtree();
  parts.reply.set_node(parts.own_id);
  parts.reply.set_revision(replica.CurrentBatch().revision());
  for (const auto* member : replica.Members().Alive()) {
    ++parts.live_by_zone[member->zone()];
  }
  const auto unreachable = replica.UnreachableZones(Clock::now());
  for (const auto& zone : unreachable) {
    parts.reply.add_warnings("zone " + zone + " is unreachable from here");
  }
  for (const auto* member : replica.Members().SuspectedOrDead()) {
    if (member->status() != SUSPECT) continue;
    parts.reply.add_warnings(member->id() + " in zone " + member->zone() +
                             " does not answer and is not counted");
  }
  for (const auto& warning : replica.Warnings()) {
    parts.reply.add_warnings(warning);
  }
  for (const auto& config : replica.CurrentBatch().services()) {
    *parts.reply.add_services() =
        MakeServiceStatus(config, replica, loop.GetMoveController(), UnixMs());
  }
  return parts;
}

}  // namespace

bool ControlService::Start(const std::string& address) {
  grpc::ServerBuilder builder;
  int bound_port = 0;
  builder.AddListeningPort(address, grpc::InsecureServerCredentials(),
                           &bound_port);
  builder.RegisterService(this);
  builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
  builder.SetSyncServerOption(grpc::ServerBuilder::NUM_CQS, 1);
  builder.SetSyncServerOption(grpc::ServerBuilder::MIN_POLLERS, 1);
  builder.SetSyncServerOption(grpc::ServerBuilder::MAX_POLLERS, kMaxPollers);
  // A configuration of many routes shrinks to a fraction, which matters on slow
  // links.
  builder.SetDefaultCompressionAlgorithm(GRPC_COMPRESS_GZIP);
  // Without SO_REUSEPORT a second process on the same address, which is an
  // error in the settings, fails to bind instead of sharing it.
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  m_server = builder.BuildAndStart();
  return m_server != nullptr && bound_port != 0;
}

void ControlService::Stop() {
  if (m_server == nullptr) return;
  m_server->Shutdown(std::chrono::system_clock::now() +
                     std::chrono::milliseconds(200));
  m_server->Wait();
}

grpc::Status ControlService::Sync(grpc::ServerContext* /*context*/,
                                  const SyncRequest* request,
                                  SyncReply* reply) {
  if (m_active_syncs.fetch_add(1) >= kMaxConcurrentSyncs) {
    --m_active_syncs;
    reply->set_retry_after_ms(kSyncRetryAfterMs);
    return grpc::Status::OK;
  }
  auto answer = m_loop->Run<SyncReply>([request = *request](ControlLoop& l) {
    SyncReply reply = l.GetReplica().HandleSyncRequest(request, Clock::now());
    l.ChargeLink(reply.ByteSizeLong());
    return reply;
  });
  --m_active_syncs;
  if (!answer) return Busy();
  *reply = std::move(*answer);
  return grpc::Status::OK;
}

grpc::Status ControlService::Offer(grpc::ServerContext* /*context*/,
                                   const OfferRequest* request,
                                   OfferReply* reply) {
  auto revision =
      m_loop->Run<uint64_t>([batch = request->batch()](ControlLoop& loop) {
        loop.GetReplica().Offer(batch);
        return loop.GetReplica().CurrentBatch().revision();
      });
  if (!revision) return Busy();
  reply->set_revision(*revision);
  return grpc::Status::OK;
}

grpc::Status ControlService::RecallVersion(grpc::ServerContext* /*context*/,
                                           const RecallRequest* request,
                                           RecallReply* reply) {
  auto answer =
      m_loop->Run<RecallReply>([request = *request](ControlLoop& loop) {
        Replica& replica = loop.GetReplica();
        RecallReply result;
        const RecallMark recall =
            MakeRecallMark(request, replica.CurrentBatch(), UnixMs());
        result.set_accepted(recall.problem.empty());
        result.set_message(recall.problem);
        if (!recall.problem.empty()) return result;
        spdlog::warn(
            "move: event=recalled service={} version={} author=\"{}\" "
            "reason=\"{}\"",
            request.service(), request.version(), request.author(),
            request.reason());
        replica.JoinMark(recall.mark);
        return result;
      });
  if (!answer) return Busy();
  *reply = std::move(*answer);
  return grpc::Status::OK;
}

grpc::Status ControlService::ReportZone(grpc::ServerContext* /*context*/,
                                        const ZoneReportRequest* /*request*/,
                                        ZoneReport* reply) {
  auto report = m_loop->Run<SubtreeReport>(
      [](ControlLoop& loop) { return loop.ZoneSubtree(); });
  if (!report) return Busy();
  *reply->mutable_report() = std::move(*report);
  return grpc::Status::OK;
}

grpc::Status ControlService::GetStatus(grpc::ServerContext* /*context*/,
                                       const StatusRequest* /*request*/,
                                       StatusReply* reply) {
  auto parts = m_loop->Run<StatusParts>(CollectStatus);
  if (!parts) return Busy();
  *reply = std::move(parts->reply);
  std::vector<ControlPeer> others;
  for (const auto& root : parts->roots) {
    if (root.id() == parts->own_id) {
      ZoneReport* own = reply->add_zones();
      own->set_zone(root.zone());
      own->set_reached(true);
      *own->mutable_report() = parts->own_report;
    } else {
      others.push_back(
          {.address = root.control_address(), .zone = root.zone()});
    }
  }
  for (auto& report : m_client->ReportZones(others)) {
    *reply->add_zones() = std::move(report);
  }
  for (const auto& [zone, count] : parts->live_by_zone) {
    reply->set_live_nodes(reply->live_nodes() + count);
  }
  for (const auto& zone : reply->zones()) {
    const uint32_t live = parts->live_by_zone[zone.zone()];
    const bool current =
        zone.reached() && zone.report().lowest_revision() >= reply->revision();
    if (current) {
      reply->set_holding(reply->holding() +
                         std::min(live, zone.report().nodes()));
    }
  }
  return grpc::Status::OK;
}

grpc::Status ControlService::GetNodes(grpc::ServerContext* /*context*/,
                                      const NodesRequest* /*request*/,
                                      NodesReply* reply) {
  auto members = m_loop->Run<std::vector<MemberRecord>>(
      [](ControlLoop& loop) { return loop.GetReplica().Members().All(); });
  if (!members) return Busy();
  for (auto& member : *members) *reply->add_members() = std::move(member);
  return grpc::Status::OK;
}

grpc::Status ControlService::Explain(grpc::ServerContext* /*context*/,
                                     const ExplainRequest* request,
                                     ExplainReply* reply) {
  auto lines = m_loop->Run<std::vector<std::string>>(
      [service = request->service()](ControlLoop& loop) {
        const Replica& replica = loop.GetReplica();
        return ExplainService(service, replica, replica.Self().zone());
      });
  if (!lines) return Busy();
  for (auto& line : *lines) reply->add_lines(std::move(line));
  return grpc::Status::OK;
}

grpc::Status ControlService::GetCrashes(grpc::ServerContext* /*context*/,
                                        const CrashesRequest* /*request*/,
                                        CrashesReply* reply) {
  auto records = m_loop->Run<std::vector<CrashRecord>>(
      [](ControlLoop& loop) { return loop.GetReplica().Crashes().All(); });
  if (!records) return Busy();
  for (auto& record : *records) *reply->add_records() = std::move(record);
  return grpc::Status::OK;
}

grpc::Status ControlService::ClearCrashes(grpc::ServerContext* /*context*/,
                                          const ClearCrashesRequest* request,
                                          ClearCrashesReply* reply) {
  const auto accepted =
      m_loop->Run<bool>([key = request->key()](ControlLoop& loop) {
        return loop.ClearCrashes(key);
      });
  if (!accepted) return Busy();
  reply->set_accepted(*accepted);
  return grpc::Status::OK;
}

}  // namespace kumquatmoor
