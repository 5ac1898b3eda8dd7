#include "kumquatmoor/node/gateway.h"

#include <spdlog/spdlog.h>

#include <boost/json.hpp>
#include <utility>

#include "kumquatmoor/node/sync_worker.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPollInterval{100};
constexpr size_t kPublishedSeeds = 16;
constexpr milliseconds kSeedsInterval{20'000};

}  // namespace

Gateway::Gateway(GatewayOptions options, ControlLoop* loop, Platform* platform,
                 TableStore* store)
    : m_options(std::move(options)),
      m_loop(loop),
      m_platform(platform),
      m_store(store) {}

Gateway::~Gateway() { Stop(); }

void Gateway::Start() {
  m_thread = std::thread([this] { Run(); });
}

void Gateway::Stop() {
  m_stopping = true;
  if (m_thread.joinable()) m_thread.join();
}

void Gateway::Pause(milliseconds time) {
  const auto until = std::chrono::steady_clock::now() + time;
  while (!m_stopping && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(kPollInterval);
  }
}

void Gateway::Run() {
  while (!m_stopping) {
    const bool candidate = m_loop
                               ->Run<bool>([](ControlLoop& loop) {
                                 return loop.IsGatewayCandidate();
                               })
                               .value_or(false);
    if (candidate && HoldLease()) {
      if (!m_active) spdlog::info("gateway: holding {}", m_lease);
      m_active = true;
      Serve();
      continue;
    }
    if (m_active) spdlog::warn("gateway: {} is gone", m_lease);
    m_active = false;
    m_lease.clear();
    Pause(m_options.retry_pause);
  }
}

bool Gateway::HoldLease() {
  for (size_t i = 0; i < m_options.leases; ++i) {
    const std::string name =
        "gateway/" + m_options.zone + "/" + std::to_string(i);
    if (!m_lease.empty() && m_lease != name) continue;
    auto held = Attempt([&] {
      return m_platform->HoldLease(
          {.name = name, .owner = m_options.id, .ttl = m_options.lease_ttl});
    });
    if (const auto* failure = std::get_if<Failure>(&held)) {
      spdlog::debug("gateway: {}", failure->message);
      return false;
    }
    if (std::get<bool>(held)) {
      m_lease = name;
      return true;
    }
  }
  return false;
}

void Gateway::Serve() {
  auto watched = Attempt([&] {
    return m_platform->Watch("head", m_head_version, m_options.watch_wait);
  });
  if (auto* failure = std::get_if<Failure>(&watched)) {
    spdlog::warn("gateway: {}", failure->message);
    Pause(m_options.retry_pause);
    return;
  }
  TakeHead(std::get<PlatformEntry>(watched));
  WriteMarks();
  PublishSeeds();
}

void Gateway::TakeHead(const PlatformEntry& entry) {
  if (entry.version == m_head_version) return;
  auto parsed = Attempt([&] { return ParseHead(entry); });
  if (auto* failure = std::get_if<Failure>(&parsed)) {
    spdlog::error("gateway: {}", failure->message);
    Pause(m_options.retry_pause);
    return;
  }
  const Head& head = std::get<Head>(parsed);
  const auto held = m_loop->Run<uint64_t>([](ControlLoop& loop) {
    return loop.GetReplica().CurrentBatch().revision();
  });
  if (!held) return;
  if (head.Revision() < *held) {
    spdlog::error("gateway: the platform is at revision {}, this node at {}",
                  head.Revision(), *held);
  }
  if (head.Revision() > *held) {
    auto batch =
        Attempt([&] { return m_store->ReadBatch(head.entries.front().key); });
    if (auto* failure = std::get_if<Failure>(&batch)) {
      spdlog::error("gateway: {}", failure->message);
      Pause(m_options.retry_pause);
      return;
    }
    m_loop->Post([batch = std::get<Batch>(batch)](ControlLoop& loop) {
      loop.GetReplica().Offer(batch);
    });
  }
  m_head_version = entry.version;
}

void Gateway::WriteMarks() {
  struct Held {
    MarkSet marks;
    std::shared_ptr<const Batch> batch;
  };
  const auto held = m_loop->Run<Held>([](ControlLoop& loop) {
    return Held{.marks = loop.GetReplica().Marks(),
                .batch = loop.GetReplica().SharedBatch()};
  });
  if (!held || held->marks.Hash() == m_written_marks) return;
  auto merged =
      Attempt([&] { return m_store->MergeMarks(held->marks, *held->batch); });
  if (std::holds_alternative<bool>(merged)) {
    m_written_marks = held->marks.Hash();
  }
}

void Gateway::PublishSeeds() {
  const auto now = std::chrono::steady_clock::now();
  if (now < m_next_seeds) return;
  m_next_seeds = now + kSeedsInterval;
  const auto seeds = m_loop->Run<std::string>([](ControlLoop& loop) {
    boost::json::array list;
    for (const auto& root : loop.ZoneRoots()) {
      if (list.size() < kPublishedSeeds) {
        list.emplace_back(root.control_address());
      }
    }
    return boost::json::serialize(list);
  });
  if (!seeds || *seeds == m_written_seeds) return;
  auto entry = Attempt([&] { return m_platform->Get(kSeedsKey); });
  auto* held = std::get_if<PlatformEntry>(&entry);
  if (held == nullptr) return;
  if (held->value != *seeds) {
    auto swapped = Attempt([&] {
      return m_platform->CompareAndSwap(kSeedsKey, held->version, *seeds);
    });
    if (std::holds_alternative<Failure>(swapped)) return;
  }
  m_written_seeds = *seeds;
}

}  // namespace kumquatmoor
