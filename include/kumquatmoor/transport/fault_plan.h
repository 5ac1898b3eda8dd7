#ifndef KUMQUATMOOR_TRANSPORT_FAULT_PLAN_H_
#define KUMQUATMOOR_TRANSPORT_FAULT_PLAN_H_

// FaultPlan holds the network faults that tests inject into a node.
//
//   plan.Replace({{.kind = FaultKind::kCut, .zone = "b"}});
//   if (plan.IsCut("127.0.2.1:7001", "b")) return;
//
// Towards other nodes and backend servers, a node consults the plan for each
// connection that it opens, each request and datagram that it sends, and each
// response that it waits for. Requests to the platform are not affected. The
// default is an empty plan, which has no effect. Thread-safe.

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "kumquatmoor/protocol/failure.h"

namespace kumquatmoor {

enum class FaultKind {
  // Drops all traffic, as a network partition does. Connections stay open.
  kCut,
  // Delays all traffic by `delay`.
  kDelay,
};

// A rule applies to a peer if both its zone and its address match. An empty
// zone or address matches every peer. `address` is an IP address, which matches
// all ports, or "IP:PORT".
struct FaultRule {
  FaultKind kind = FaultKind::kCut;
  std::string zone;
  std::string address;
  std::chrono::milliseconds delay{0};
};

class FaultPlan {
 public:
  // Replaces all rules; an empty list ends all faults.
  void Replace(std::vector<FaultRule> rules);
  // Returns true if a rule drops the traffic to the peer at `address`
  // ("IP:PORT") in `zone`.
  bool IsCut(std::string_view address, std::string_view zone) const;
  // Returns the longest delay of the rules that match, or zero.
  std::chrono::milliseconds Delay(std::string_view address,
                                  std::string_view zone) const;

 private:
  using Rules = std::vector<FaultRule>;
  std::shared_ptr<const Rules> CurrentRules() const;

  // Avoids the atomic load of the pointer if there are no rules.
  std::atomic<bool> m_has_rules{false};
  std::atomic<std::shared_ptr<const Rules>> m_rules;
};

// Parses a JSON list of rules:
//
//   [{"kind": "cut", "zone": "b"},
//    {"kind": "delay", "address": "127.0.0.1", "delay_ms": 50}]
//
// Fails with kInvalid and the first problem.
Result<std::vector<FaultRule>> ParseFaultRules(std::string_view json);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_TRANSPORT_FAULT_PLAN_H_
