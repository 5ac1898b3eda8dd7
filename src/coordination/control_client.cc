#include "kumquatmoor/coordination/control_client.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <utility>

#include "control.grpc.pb.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

// A synchronisation with an unreachable member must not delay the next one for
// long, because a configuration must reach every node within 2 s.
constexpr milliseconds kSyncTimeout{600};
// Rate, in bytes per second before compression, at which a reply arrives at
// least. Less than half of what the slowest links of the deployments carry.
constexpr uint64_t kMinTransferRate = 500'000;
constexpr milliseconds kMaxSyncTimeout{3'000};
constexpr milliseconds kCallTimeout{2'000};
constexpr milliseconds kZoneReportTimeout{1'000};
// Limit for a received message. The complete member list of the largest mesh
// takes a few megabytes.
constexpr int kMaxMessageBytes = 32 << 20;

std::shared_ptr<grpc::Channel> MakeChannel(const std::string& address) {
  grpc::ChannelArguments arguments;
  arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
  // Prevents this channel from sharing the connection of another one.
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(),
                                   arguments);
}

std::unique_ptr<Control::Stub> MakeStub(const std::string& address) {
  return Control::NewStub(MakeChannel(address));
}

milliseconds SyncTimeout(uint64_t expected_bytes) {
  const milliseconds transfer(std::min(expected_bytes, kMinTransferRate * 60) *
                              1'000 / kMinTransferRate);
  return std::min(kMaxSyncTimeout, kSyncTimeout + transfer);
}

void SetTimeout(grpc::ClientContext* context, milliseconds timeout) {
  context->set_deadline(std::chrono::system_clock::now() + timeout);
}

template <typename Reply, typename Request>
Result<Reply> Call(const FaultPlan* faults, const ControlPeer& peer,
                   const Request& request, milliseconds timeout,
                   grpc::Status (Control::Stub::*method)(grpc::ClientContext*,
                                                         const Request&,
                                                         Reply*)) {
  if (faults != nullptr && faults->IsCut(peer.address, peer.zone)) {
    return Fail(FailureCode::kUnavailable, peer.address + ": cut off");
  }
  const auto channel = MakeChannel(peer.address);
  const auto connected_by =
      std::chrono::system_clock::now() + std::min(timeout, kSyncTimeout);
  if (!channel->WaitForConnected(connected_by)) {
    return Fail(FailureCode::kUnavailable, peer.address + ": no connection");
  }
  grpc::ClientContext context;
  SetTimeout(&context, timeout);
  Reply reply;
  const auto stub = Control::NewStub(channel);
  const grpc::Status status = ((*stub).*method)(&context, request, &reply);
  if (status.ok()) return reply;
  const bool unavailable =
      status.error_code() == grpc::StatusCode::UNAVAILABLE ||
      status.error_code() == grpc::StatusCode::RESOURCE_EXHAUSTED;
  return Fail(unavailable ? FailureCode::kUnavailable : FailureCode::kUnknown,
              peer.address + ": " + status.error_message());
}

// One of the concurrent calls of ReportZones().
struct ZoneCall {
  std::unique_ptr<Control::Stub> stub;
  grpc::ClientContext context;
  grpc::Status status;
  ZoneReport reply;
  std::unique_ptr<grpc::ClientAsyncResponseReader<ZoneReport>> reader;
};

}  // namespace

Result<SyncReply> ControlClient::Sync(const ControlPeer& peer,
                                      const SyncRequest& request) {
  return Call<SyncReply, SyncRequest>(m_faults, peer, request,
                                      SyncTimeout(peer.expected_bytes),
                                      &Control::Stub::Sync);
}

Result<OfferReply> ControlClient::Offer(const ControlPeer& peer,
                                        const Batch& batch) {
  OfferRequest request;
  *request.mutable_batch() = batch;
  return Call<OfferReply, OfferRequest>(m_faults, peer, request, kCallTimeout,
                                        &Control::Stub::Offer);
}

Result<RecallReply> ControlClient::RecallVersion(const ControlPeer& peer,
                                                 const RecallRequest& request) {
  return Call<RecallReply, RecallRequest>(m_faults, peer, request, kCallTimeout,
                                          &Control::Stub::RecallVersion);
}

Result<StatusReply> ControlClient::GetStatus(const ControlPeer& peer) {
  return Call<StatusReply, StatusRequest>(
      m_faults, peer, StatusRequest(), kCallTimeout, &Control::Stub::GetStatus);
}

Result<NodesReply> ControlClient::GetNodes(const ControlPeer& peer) {
  return Call<NodesReply, NodesRequest>(m_faults, peer, NodesRequest(),
                                        kCallTimeout, &Control::Stub::GetNodes);
}

Result<ExplainReply> ControlClient::Explain(const ControlPeer& peer,
                                            const std::string& service) {
  ExplainRequest request;
  request.set_service(service);
  return Call<ExplainReply, ExplainRequest>(
      m_faults, peer, request, kCallTimeout, &Control::Stub::Explain);
}

Result<CrashesReply> ControlClient::GetCrashes(const ControlPeer& peer) {
  return Call<CrashesReply, CrashesRequest>(m_faults, peer, CrashesRequest(),
                                            kCallTimeout,
                                            &Control::Stub::GetCrashes);
}

Result<ClearCrashesReply> ControlClient::ClearCrashes(const ControlPeer& peer,
                                                      const std::string& key) {
  ClearCrashesRequest request;
  request.set_key(key);
  return Call<ClearCrashesReply, ClearCrashesRequest>(
      m_faults, peer, request, kCallTimeout, &Control::Stub::ClearCrashes);
}

std::vector<ZoneReport> ControlClient::ReportZones(
    std::span<const ControlPeer> peers) {
  grpc::CompletionQueue queue;
  std::vector<std::unique_ptr<ZoneCall>> calls;
  size_t waiting = 0;
  for (const auto& peer : peers) {
    auto call = std::make_unique<ZoneCall>();
    call->status = grpc::Status(grpc::StatusCode::UNAVAILABLE, "cut off");
    if (m_faults == nullptr || !m_faults->IsCut(peer.address, peer.zone)) {
      call->stub = MakeStub(peer.address);
      SetTimeout(&call->context, kZoneReportTimeout);
      ZoneReportRequest request;
      request.set_zone(peer.zone);
      call->reader =
          call->stub->AsyncReportZone(&call->context, request, &queue);
      call->reader->Finish(&call->reply, &call->status, call.get());
      ++waiting;
    }
    calls.push_back(std::move(call));
  }
  void* tag = nullptr;
  bool ok = false;
  for (; waiting > 0 && queue.Next(&tag, &ok); --waiting) {
  }
  queue.Shutdown();
  while (queue.Next(&tag, &ok)) {
  }
  std::vector<ZoneReport> reports;
  for (size_t i = 0; i < calls.size(); ++i) {
    ZoneReport report = std::move(calls[i]->reply);
    report.set_zone(peers[i].zone);
    report.set_reached(calls[i]->status.ok());
    reports.push_back(std::move(report));
  }
  return reports;
}

}  // namespace kumquatmoor
