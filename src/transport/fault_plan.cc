#include "kumquatmoor/transport/fault_plan.h"

#include <algorithm>
#include <utility>

#include "kumquatmoor/protocol/json_reader.h"

namespace kumquatmoor {
namespace {

constexpr int64_t kMaxDelayMs = 60'000;

bool Matches(const FaultRule& rule, std::string_view address,
             std::string_view zone) {
  if (!rule.zone.empty() && rule.zone != zone) return false;
  if (rule.address.empty() || rule.address == address) return true;
  // The rule may name an IP address without a port.
  return rule.address == address.substr(0, address.rfind(':'));
}

}  // namespace

void FaultPlan::Replace(std::vector<FaultRule> rules) {
  const bool has_rules = !rules.empty();
  m_rules = std::make_shared<const Rules>(std::move(rules));
  m_has_rules = has_rules;
}

std::shared_ptr<const FaultPlan::Rules> FaultPlan::CurrentRules() const {
  return m_has_rules ? m_rules.load() : nullptr;
}

bool FaultPlan::IsCut(std::string_view address, std::string_view zone) const {
  const auto rules = CurrentRules();
  if (rules == nullptr) return false;
  return std::any_of(rules->begin(), rules->end(), [&](const auto& rule) {
    return rule.kind == FaultKind::kCut && Matches(rule, address, zone);
  });
}

std::chrono::milliseconds FaultPlan::Delay(std::string_view address,
                                           std::string_view zone) const {
  std::chrono::milliseconds delay{0};
  const auto rules = CurrentRules();
  if (rules == nullptr) return delay;
  for (const auto& rule : *rules) {
    if (rule.kind != FaultKind::kDelay) continue;
    if (Matches(rule, address, zone)) delay = std::max(delay, rule.delay);
  }
  return delay;
}

Result<std::vector<FaultRule>> ParseFaultRules(std::string_view json) {
  boost::json::error_code error;
  const auto value = boost::json::parse(json, error);
  const auto* list = value.if_array();
  if (error || list == nullptr) {
    return Fail(FailureCode::kInvalid, "expected a JSON list of rules");
  }
  std::vector<FaultRule> rules;
  std::vector<std::string> problems;
  for (const auto& item : *list) {
    JsonReader reader(item, "rule", &problems);
    FaultRule rule;
    const std::string kind = reader.RequiredString("kind");
    if (kind == "delay") {
      rule.kind = FaultKind::kDelay;
    } else if (kind != "cut") {
      reader.AddProblem("kind", "expected cut or delay");
    }
    rule.zone = reader.String("zone", "");
    rule.address = reader.String("address", "");
    rule.delay = std::chrono::milliseconds(
        reader.Integer("delay_ms", {.maximum = kMaxDelayMs}));
    reader.RejectUnknownKeys();
    rules.push_back(std::move(rule));
  }
  if (!problems.empty()) return Fail(FailureCode::kInvalid, problems.front());
  return rules;
}

}  // namespace kumquatmoor
