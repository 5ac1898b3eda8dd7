#ifndef KUMQUATMOOR_TRANSPORT_FAULT_PLAN_H_
#define KUMQUATMOOR_TRANSPORT_FAULT_PLAN_H_

// FaultPlan: network faults that tests inject into a node.
//
//   plan.Replace({{.kind = FaultKind::kCut, .zone = "b"}});
//   if (plan.IsCut("127.0.2.1:7001", "b")) return;
//
// Every connection, request and datagram that a node sends asks the plan. An
// empty plan, the default, lets everything pass. Thread-safe.

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "kumquatmoor/protocol/failure.h"

namespace kumquatmoor {

enum class FaultKind {
  kCut,    // Nothing passes; connections stay open in silence.
  kDelay,  // Everything is late by `delay`.
};

// A rule matches if the zone and the address that it names match; an empty
// one matches all. `address` may be an IP number or "IP:PORT".
struct FaultRule {
  FaultKind kind = FaultKind::kCut;
  std::string zone;
  std::string address;
  std::chrono::milliseconds delay{0};
};

class FaultPlan {
 public:
  void Replace(std::vector<FaultRule> rules);
  bool IsCut(std::string_view address, std::string_view zone) const;
  std::chrono::milliseconds Delay(std::string_view address,
                                  std::string_view zone) const;

 private:
  using Rules = std::vector<FaultRule>;
  std::shared_ptr<const Rules> Current() const;

  std::atomic<bool> m_active{false};  // Spares the common case the pointer.
  std::atomic<std::shared_ptr<const Rules>> m_rules;
};

// Rules from JSON: [{"kind": "cut", "zone": "b"}, {"kind": "delay", ...}].
Result<std::vector<FaultRule>> ParseFaultRules(std::string_view json);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_TRANSPORT_FAULT_PLAN_H_
