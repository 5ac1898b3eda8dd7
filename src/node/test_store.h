#ifndef KUMQUATMOOR_SRC_NODE_TEST_STORE_H_
#define KUMQUATMOOR_SRC_NODE_TEST_STORE_H_

// A configuration in memory from which the nodes of a test read, each through a
// StoreSource of its own.

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include "kumquatmoor/coordination/configuration_source.h"
#include "kumquatmoor/coordination/platform.h"

namespace kumquatmoor {

// The configuration as the platform has it.
class TestStore {
 public:
  void Put(Batch batch) {
    const std::lock_guard lock(m_mutex);
    m_batch = std::move(batch);
    m_changed.notify_all();
  }
  Batch Read() {
    const std::lock_guard lock(m_mutex);
    return m_batch;
  }
  void AwaitNewer(uint64_t revision, std::chrono::milliseconds wait) {
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, wait,
                       [&] { return m_batch.revision() > revision; });
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  Batch m_batch;
};

// Reads it through a link.
class StoreSource : public ConfigurationSource {
 public:
  // `bytes_per_ms` is 0 if reads take no time.
  StoreSource(TestStore* store, double bytes_per_ms)
      : m_store(store), m_bytes_per_ms(bytes_per_ms) {}

  Result<SourceUpdate> Load() override { return Read(); }
  Result<SourceUpdate> Await(std::chrono::milliseconds wait) override {
    m_store->AwaitNewer(m_revision, wait);
    return Read();
  }
  Result<bool> Report(const MeshProgress& /*progress*/) override {
    return false;
  }

 private:
  SourceUpdate Read() {
    Batch batch = m_store->Read();
    if (batch.revision() == m_revision) return {};
    m_revision = batch.revision();
    if (m_bytes_per_ms > 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(static_cast<int>(
          static_cast<double>(batch.ByteSizeLong()) / m_bytes_per_ms)));
    }
    return {.batch = std::move(batch)};
  }

  TestStore* m_store;
  double m_bytes_per_ms;
  uint64_t m_revision = 0;
};

class EmptyPlatform : public Platform {
 public:
  Result<PlatformEntry> Get(const std::string& /*key*/) override {
    return PlatformEntry();
  }
  Result<uint64_t> CompareAndSwap(const std::string& /*key*/,
                                  uint64_t /*expected_version*/,
                                  const std::string& /*value*/) override {
    return 1;
  }
  Result<PlatformItems> List(const std::string& /*prefix*/) override {
    return PlatformItems();
  }
  Result<PlatformItems> Watch(const std::string& /*prefix*/,
                              uint64_t /*revision*/,
                              std::chrono::milliseconds /*wait*/) override {
    return PlatformItems();
  }
  Result<bool> Delete(const std::string& /*key*/) override { return true; }
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_NODE_TEST_STORE_H_
