#ifndef KUMQUATMOOR_SRC_NODE_CRASH_DETECTOR_H_
#define KUMQUATMOOR_SRC_NODE_CRASH_DETECTOR_H_

// CrashDetector: decides whether a backend server of this host has crashed when
// the connection of a request that it ran ends without a response.
//
//   CrashDetector detector(context);
//   detector.SetHandler([](const BackendCrash& crash) { ... });
//   const CrashDetector::RunEntry entry = detector.Begin(run);
//   ... send the request; the connection ends without a response ...
//   if (co_await detector.HasCrashed(entry)) ...
//
// A crash ends all requests of the process, and nothing listens at its address
// any more. The end of one connection alone is no crash: a backend server may
// reset a connection because it is full, or close an idle one.
//
// Used from the one thread of the proxy's io_context. Entries may outlive the
// detector.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <utility>

#include "kumquatmoor/state/crash_suspects.h"
#include "kumquatmoor/state/limits.h"

namespace kumquatmoor {

class CrashDetector {
 public:
  // A request that a backend server runs.
  struct Run {
    std::string service;
    std::string version;
    std::string instance;
    std::string address;  // "IP:PORT" of the backend server.
    std::string key;      // RequestKey() of the request.
  };

 private:
  struct StartedRun {
    Run run;
    TimePoint started;
  };
  using Runs = std::map<uint64_t, StartedRun>;  // By id.

 public:
  // Counts a run as being in progress during its lifetime.
  class RunEntry {
   public:
    RunEntry(std::shared_ptr<Runs> runs, uint64_t id)
        : m_runs(std::move(runs)), m_id(id) {}
    RunEntry(const RunEntry&) = delete;
    RunEntry& operator=(const RunEntry&) = delete;
    ~RunEntry() { m_runs->erase(m_id); }

   private:
    friend class CrashDetector;
    std::shared_ptr<Runs> m_runs;
    uint64_t m_id;
  };

  explicit CrashDetector(boost::asio::io_context& context)
      : m_context(context) {}

  // Calls `handler` once for each crash.
  void SetHandler(std::function<void(const BackendCrash&)> handler) {
    m_handler = std::move(handler);
  }
  RunEntry Begin(Run run);
  // To be called when the connection of the run has ended without a response.
  // Takes at most 260 ms. Ends the run.
  boost::asio::awaitable<bool> HasCrashed(const RunEntry& entry);

 private:
  // A decision about one instance, which all its ended runs wait for.
  struct Check {
    explicit Check(boost::asio::io_context& context) : decided(context) {}
    BackendCrash crash;
    TimePoint started;
    boost::asio::steady_timer decided;  // Cancelled by the decision.
    bool has_crashed = false;
  };

  boost::asio::awaitable<bool> Decide(const std::string& address,
                                      const Check& check);
  // True if a run that was in progress when the check began still is.
  bool AnyRunGoesOn(const Check& check) const;

  boost::asio::io_context& m_context;
  std::function<void(const BackendCrash&)> m_handler;
  std::shared_ptr<Runs> m_runs = std::make_shared<Runs>();
  uint64_t m_last_id = 0;
  // By service, version and instance, which may be empty.
  using ProcessKey = std::tuple<std::string, std::string, std::string>;
  std::map<ProcessKey, std::shared_ptr<Check>> m_checks;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_NODE_CRASH_DETECTOR_H_
