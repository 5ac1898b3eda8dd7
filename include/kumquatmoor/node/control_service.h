#ifndef KUMQUATMOOR_NODE_CONTROL_SERVICE_H_
#define KUMQUATMOOR_NODE_CONTROL_SERVICE_H_

// ControlService: the gRPC service of a node, for other nodes and operators.
//
//   ControlService service(&loop, &client);
//   if (!service.Start("127.0.1.1:7002")) ...
//
// Handlers run on gRPC's threads and access the node's state through
// ControlLoop::Run. They return RESOURCE_EXHAUSTED if the control thread does
// not reply in time. A Sync call beyond the limit of concurrent ones receives
// a reply that names the time to wait before a retry.
//
// The loop and the client must outlive the service.

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>

#include "control.grpc.pb.h"
#include "kumquatmoor/coordination/control_client.h"
#include "kumquatmoor/node/control_loop.h"

namespace kumquatmoor {

class ControlService final : public Control::Service {
 public:
  // Sync calls that are served at the same time. Bounded, as each reply may
  // hold megabytes.
  static constexpr int kMaxConcurrentSyncs = 4;
  static constexpr uint32_t kSyncRetryAfterMs = 500;

  ControlService(ControlLoop* loop, ControlClient* client)
      : m_loop(loop), m_client(client) {}

  // Returns false if the address cannot be bound.
  bool Start(const std::string& address);
  // Cancels calls that last longer than a short grace period.
  void Stop();

  grpc::Status Sync(grpc::ServerContext* context, const SyncRequest* request,
                    SyncReply* reply) override;
  grpc::Status Offer(grpc::ServerContext* context, const OfferRequest* request,
                     OfferReply* reply) override;
  grpc::Status RecallVersion(grpc::ServerContext* context,
                             const RecallRequest* request,
                             RecallReply* reply) override;
  grpc::Status ReportZone(grpc::ServerContext* context,
                          const ZoneReportRequest* request,
                          ZoneReport* reply) override;
  grpc::Status GetStatus(grpc::ServerContext* context,
                         const StatusRequest* request,
                         StatusReply* reply) override;
  grpc::Status GetNodes(grpc::ServerContext* context,
                        const NodesRequest* request,
                        NodesReply* reply) override;
  grpc::Status Explain(grpc::ServerContext* context,
                       const ExplainRequest* request,
                       ExplainReply* reply) override;
  grpc::Status GetCrashes(grpc::ServerContext* context,
                          const CrashesRequest* request,
                          CrashesReply* reply) override;
  grpc::Status ClearCrashes(grpc::ServerContext* context,
                            const ClearCrashesRequest* request,
                            ClearCrashesReply* reply) override;

 private:
  ControlLoop* m_loop;
  ControlClient* m_client;
  std::atomic<int> m_active_syncs{0};
  std::unique_ptr<grpc::Server> m_server;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_CONTROL_SERVICE_H_
