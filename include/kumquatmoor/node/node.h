#ifndef KUMQUATMOOR_NODE_NODE_H_
#define KUMQUATMOOR_NODE_NODE_H_

// Node: everything that kumquatmoord runs, wired together.
//
//   Node node(settings, {.fault_injection = false});
//   if (std::string problem = node.Start(); !problem.empty()) ...
//   node.WaitForSignal();  // Returns after SIGTERM, drained.
//
// Threads, each with one duty: the proxy (requests), the control loop
// (membership, batches, moves, and the admin address), the sync worker
// (joining and bulk transfers), the gateway (the platform) and gRPC's own.

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "kumquatmoor/coordination/control_client.h"
#include "kumquatmoor/coordination/platform.h"
#include "kumquatmoor/coordination/table_store.h"
#include "kumquatmoor/node/control_loop.h"
#include "kumquatmoor/node/control_service.h"
#include "kumquatmoor/node/gateway.h"
#include "kumquatmoor/node/node_settings.h"
#include "kumquatmoor/node/proxy.h"
#include "kumquatmoor/node/sync_worker.h"
#include "kumquatmoor/transport/fault_plan.h"
#include "kumquatmoor/transport/http_server.h"

namespace kumquatmoor {

struct NodeOptions {
  bool fault_injection = false;  // Takes fault rules on the admin address.
  Platform* platform = nullptr;  // Outlives the node, as `source` does.
  ConfigurationSource* source = nullptr;
  CallHeaders headers;  // Those of callers and backend servers.
  // Further metrics in the Prometheus text format.
  std::function<std::string()> extra_metrics;
  // The settings file changed. Runs on the thread of WaitForSignal.
  std::function<void()> on_reload;
};

class Node {
 public:
  Node(NodeSettings settings, NodeOptions options);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Binds every address and starts the threads. Returns what went wrong.
  std::string Start();
  // Blocks until SIGTERM or SIGINT and the drain that follows.
  void WaitForSignal();

  // For what an adapter serves on the control thread.
  boost::asio::io_context& ControlContext() { return m_control_context; }
  ControlLoop& Loop() { return m_loop; }

 private:
  boost::asio::awaitable<HttpResponse> HandleAdmin(
      HttpRequest& request, boost::asio::ip::tcp::socket& socket);
  HttpResponse HandleAnnounce(const HttpRequest& request);
  HttpResponse HandleFaults(const HttpRequest& request);
  void Drain();
  void Stop();

  NodeSettings m_settings;
  NodeOptions m_options;
  FaultPlan m_faults;
  boost::asio::io_context m_proxy_context{1};
  boost::asio::io_context m_control_context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_proxy_work;
  BoundedRing<Outcome> m_outcomes;
  BoundedRing<SyncPeer> m_syncs;
  Proxy m_proxy;
  ControlLoop m_loop;
  ControlClient m_client;
  ControlService m_service;
  SyncWorker m_sync_worker;
  Gateway m_gateway;
  HttpServer m_admin;
  std::thread m_proxy_thread;
  std::thread m_control_thread;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_NODE_H_
