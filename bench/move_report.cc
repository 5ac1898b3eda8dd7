#include "move_report.h"

#include <spdlog/fmt/fmt.h>

#include <cmath>
#include <iostream>
#include <map>

namespace kumquatmoor {
namespace {

namespace json = boost::json;

void PrintSummary(const std::string& name, const Summary& summary) {
  std::cout << fmt::format(
      "{:<24} good in time {}  bad taken back {}  false recalls {}\n"
      "{:<24} writes on the bad version p50 {:.3f}% p99 {:.3f}%  "
      "writes hit by the fault p50 {:.3f}% p99 {:.3f}%  "
      "first harm to last request p50 {:.1f} s p99 {:.1f} s\n"
      "{:<24} reports, bytes/s per target p50 {:.0f} p99 {:.0f}  "
      "wrong exclusions {}\n",
      name, summary.good_in_time.Text(), summary.bad_taken_back.Text(),
      summary.false_recalls.Text(), "", 100 * Quantile(summary.harmful, 0.5),
      100 * Quantile(summary.harmful, 0.99),
      100 * Quantile(summary.harmed, 0.5), 100 * Quantile(summary.harmed, 0.99),
      Quantile(summary.last_harm_s, 0.5), Quantile(summary.last_harm_s, 0.99),
      "", Quantile(summary.report_bytes_per_s, 0.5),
      Quantile(summary.report_bytes_per_s, 0.99), summary.wrong_blame.Text());
}

json::object ToJson(const Summary& summary) {
  return {{"good_in_time", summary.good_in_time.count},
          {"good", summary.good_in_time.total},
          {"bad_taken_back", summary.bad_taken_back.count},
          {"bad", summary.bad_taken_back.total},
          {"false_recalls", summary.false_recalls.count},
          {"wrong_blame", summary.wrong_blame.count},
          {"harmful_p99", Quantile(summary.harmful, 0.99)},
          {"harmed_p99", Quantile(summary.harmed, 0.99)},
          {"last_harm_p99_s", Quantile(summary.last_harm_s, 0.99)},
          {"evidence_bytes_p50", Quantile(summary.report_bytes_per_s, 0.5)}};
}

}  // namespace

std::string Proportion::Text() const {
  if (total == 0) return "-";
  const double n = static_cast<double>(total);
  const double proportion = static_cast<double>(count) / n;
  constexpr double kZ = 1.96;  // Quantile of the normal distribution for 95%.
  const double center = (proportion + kZ * kZ / (2 * n)) / (1 + kZ * kZ / n);
  const double half =
      kZ *
      std::sqrt(proportion * (1 - proportion) / n + kZ * kZ / (4 * n * n)) /
      (1 + kZ * kZ / n);
  return fmt::format("{}/{} [{:.1f}%, {:.1f}%]", count, total,
                     100 * (center - half), 100 * (center + half));
}

Summary ReportResults(const std::string& method, bool show_misses,
                      const std::vector<Case>& cases,
                      const std::vector<CaseResult>& results,
                      json::object* report) {
  std::map<std::string, Summary> parts;
  Summary all;
  for (size_t i = 0; i < cases.size(); ++i) {
    const Case& c = cases[i];
    all.Add(c, results[i]);
    parts["in " + c.deployment->name].Add(c, results[i]);
    parts["under: " + c.condition->name].Add(c, results[i]);
    if (c.condition->name == "calm") {
      parts[c.fault->name].Add(c, results[i]);
      parts[fmt::format("at {:g} calls/s", c.calls_per_s)].Add(c, results[i]);
    }
    const bool missed = c.fault->bad
                            ? !results[i].recalled
                            : !results[i].full_in_time || results[i].recalled;
    if (missed && show_misses) {
      std::cout << fmt::format(
          "missed: {} {}, {}, {:g} calls/s seed {}: recalled={} full={} {}\n",
          c.deployment->name, c.fault->name, c.condition->name, c.calls_per_s,
          c.seed, results[i].recalled, results[i].full_in_time,
          results[i].reason);
    }
  }
  std::cout << "== " << method << "\n";
  json::object details;
  for (const auto& [name, summary] : parts) {
    PrintSummary(name, summary);
    details[name] = ToJson(summary);
  }
  PrintSummary("all", all);
  details["all"] = ToJson(all);
  (*report)[method] = std::move(details);
  return all;
}

}  // namespace kumquatmoor
