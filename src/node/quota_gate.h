#ifndef KUMQUATMOOR_SRC_NODE_QUOTA_GATE_H_
#define KUMQUATMOOR_SRC_NODE_QUOTA_GATE_H_

// QuotaGate: lets requests of organisations with a quota pass once they have a
// token.
//
//   QuotaGate gate(context, seed);
//   gate.SetHandler(AskTheControlThread);
//   if (gate.HasQuota(organisation)) {
//     const QuotaDecision decision = co_await gate.Take(organisation, until);
//     ...
//   }
//   gate.OnGrants(grants, sent);
//
// Connects QuotaClient with timers. Requests for tokens of a few milliseconds
// are passed to the handler together. Used by the proxy's thread only.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "kumquatmoor/coordination/quota_client.h"

namespace kumquatmoor {

class QuotaGate {
 public:
  // Takes requests for tokens and the time at which they were made.
  using Handler = std::function<void(std::vector<QuotaRequest>, TimePoint)>;

  QuotaGate(boost::asio::io_context& context, uint64_t seed);

  void SetHandler(Handler handler) { m_handler = std::move(handler); }
  // Also tells that authorities may have changed.
  void SetLimits(std::shared_ptr<const QuotaLimits> limits,
                 size_t known_members);
  bool HasQuota(std::string_view organisation) const {
    return m_client.HasQuota(organisation);
  }
  // Takes a token. Waits for one until `until` or for QuotaClient::kMaxWait,
  // and does not return QuotaWait. `organisation` must stay valid until then.
  boost::asio::awaitable<QuotaDecision> Take(const std::string& organisation,
                                             TimePoint until);
  // Returns the token that a request took at `taken`, by BootTimePoint(), since
  // it has not run.
  void Return(std::string_view organisation, TimePoint taken);
  void OnGrants(const std::vector<QuotaGrant>& grants, TimePoint sent);

 private:
  // The timers of waiting requests by organisation. Shared with the requests,
  // whose coroutine frames may outlive the gate.
  using Waiters =
      std::map<std::string, std::list<boost::asio::steady_timer*>, std::less<>>;

  boost::asio::awaitable<QuotaDecision> Wait(const std::string& organisation,
                                             TimePoint until);
  // Sets the timer for the next requests for tokens.
  void Schedule();
  void SendRequests();

  boost::asio::io_context& m_context;
  QuotaClient m_client;
  Handler m_handler;
  std::shared_ptr<Waiters> m_waiters = std::make_shared<Waiters>();
  boost::asio::steady_timer m_timer;
  TimePoint m_scheduled = TimePoint::max();  // By BootTimePoint().
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_NODE_QUOTA_GATE_H_
