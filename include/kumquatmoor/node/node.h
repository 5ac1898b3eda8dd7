#ifndef KUMQUATMOOR_NODE_NODE_H_
#define KUMQUATMOOR_NODE_NODE_H_

// Node: everything that kumquatmoord runs, wired together.
//
//   Node node(settings, {.platform = &platform, .source = &source});
//   if (std::string problem = node.Start(); !problem.empty()) ...
//   node.WaitForSignal(signals);  // Returns after SIGTERM and the drain.
//
// Each thread has one duty: the proxy thread forwards requests; the control
// thread handles membership, batches, moves and the admin address; the sync
// worker joins the mesh and transfers bulk state; the gateway thread calls the
// platform; gRPC's threads serve ControlService.

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "kumquatmoor/coordination/control_client.h"
#include "kumquatmoor/coordination/platform.h"
#include "kumquatmoor/coordination/table_store.h"
#include "kumquatmoor/node/control_loop.h"
#include "kumquatmoor/node/control_service.h"
#include "kumquatmoor/node/departure_log.h"
#include "kumquatmoor/node/gateway.h"
#include "kumquatmoor/node/node_settings.h"
#include "kumquatmoor/node/process_signals.h"
#include "kumquatmoor/node/proxy.h"
#include "kumquatmoor/node/sync_worker.h"
#include "kumquatmoor/transport/fault_plan.h"
#include "kumquatmoor/transport/http_server.h"

namespace kumquatmoor {

struct NodeOptions {
  bool fault_injection = false;  // Accepts fault rules on the admin address.
  Platform* platform = nullptr;  // Must outlive the node.
  ConfigurationSource* source = nullptr;  // Must outlive the node.
  CallHeaders headers;  // Header names of callers and backend servers.
  // Further metrics in the Prometheus text format. Runs on the control thread.
  std::function<std::string()> extra_metrics;
  // Runs on SIGHUP, on the thread of WaitForSignal.
  std::function<void()> on_reload;
};

class Node {
 public:
  Node(NodeSettings settings, NodeOptions options);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Binds every address and starts the threads. Returns an error message, which
  // is empty on success.
  std::string Start();
  // Blocks until SIGTERM or SIGINT arrives and the drain that it starts has
  // ended.
  void WaitForSignal(ProcessSignals& signals);

  // What this node still waits for, as KEY=VALUE. A thread that does not
  // respond in time is named. Safe from any thread but those of the contexts.
  std::string DescribePending();

  // An adapter to a deployment serves its own addresses on this context, which
  // the control thread runs.
  boost::asio::io_context& ControlContext() { return m_control_context; }
  ControlLoop& Loop() { return m_loop; }
  DepartureLog& Departures() { return m_departures; }

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
  DepartureLog m_departures;
  HttpServer m_admin;
  std::thread m_proxy_thread;
  std::thread m_control_thread;
  std::atomic<const char*> m_phase{"starting"};  // Of the main thread.
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_NODE_H_
