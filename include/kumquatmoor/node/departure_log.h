#ifndef KUMQUATMOOR_NODE_DEPARTURE_LOG_H_
#define KUMQUATMOOR_NODE_DEPARTURE_LOG_H_

// DepartureLog: writes to the platform which backend server processes have told
// this node that they leave. An acknowledgement is given only once it is
// written, so that it outlives every node.
//
//   DepartureLog log({.member_id = "n1", .zone = "a"}, &platform);
//   const bool written = co_await log.AwaitWritten(leaving, 800ms);
//   co_return written ? Acknowledge() : Refuse();
//
// Departures that come while a write is in progress are written together with
// the next one. A write that fails is repeated with exponential backoff until
// it succeeds or the departure is older than kDepartureRetention; the backend
// server, which got no acknowledgement, repeats its message meanwhile. A
// response that is lost is resolved by reading the key.
//
// The thread is started by the first departure. Stop is called by one thread,
// the other methods are thread-safe. The platform must outlive the log.

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "kumquatmoor/coordination/departures.h"
#include "kumquatmoor/coordination/platform.h"

namespace kumquatmoor {

struct DepartureLogOptions {
  std::string member_id;  // Of this node.
  std::string zone;
  // Bounds of the exponential backoff after a failed write.
  std::chrono::milliseconds initial_backoff{100};
  std::chrono::milliseconds max_backoff{1'000};
  uint64_t seed = 1;
};

class DepartureLog {
 public:
  DepartureLog(DepartureLogOptions options, Platform* platform);
  ~DepartureLog();
  DepartureLog(const DepartureLog&) = delete;
  DepartureLog& operator=(const DepartureLog&) = delete;

  // Ends the thread. Departures that are not written by then are dropped.
  void Stop();
  // Writes the departure and waits until it is on the platform, `timeout` at
  // most. Returns false if it is not by then; the write goes on.
  boost::asio::awaitable<bool> AwaitWritten(LeavingInstance leaving,
                                            std::chrono::milliseconds timeout);
  // The platform may have lost what was written: writes it again.
  void WriteAgain();
  // Numbers of written and of late departures in the Prometheus text format.
  std::string Metrics() const;

 private:
  using TimePoint = std::chrono::steady_clock::time_point;
  struct Pending {
    LeavingInstance leaving;
    TimePoint since;
    std::function<void()> written;  // Of the latest caller. May be empty.
  };

  // Calls `written` once the departure is on the platform. Returns true, and
  // does not call it, if it is there already.
  bool Write(const LeavingInstance& leaving, std::function<void()> written);
  // Body of the thread.
  void Run();
  // Writes what is pending. Returns false if the write failed.
  bool WritePending();
  // Makes `m_entry` and `m_version` those of the platform.
  bool ReadEntry();
  void Complete(const std::vector<LeavingInstance>& written);
  void DropOld(TimePoint now);

  DepartureLogOptions m_options;
  Platform* m_platform;

  // Of the thread.
  std::mt19937_64 m_rng;
  DepartureEntry m_entry;  // As last read or written.
  uint64_t m_version = 0;  // Of the key.

  mutable std::mutex m_mutex;  // Guards the members below.
  std::condition_variable m_changed;
  std::list<Pending> m_pending;
  DepartureEntry m_written;  // What is known to be on the platform.
  bool m_must_read = false;  // The platform may have lost the entry.
  uint64_t m_write_count = 0;
  uint64_t m_late_count = 0;
  bool m_stopping = false;
  std::thread m_thread;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_DEPARTURE_LOG_H_
