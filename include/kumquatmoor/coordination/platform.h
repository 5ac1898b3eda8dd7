#ifndef KUMQUATMOOR_COORDINATION_PLATFORM_H_
#define KUMQUATMOOR_COORDINATION_PLATFORM_H_

// Platform: the platform's key-value service, behind one narrow interface.
//
//   HttpPlatform platform({.address = "127.0.0.1:7100"});
//   auto entry = Attempt([&] { return platform.Get("head"); });
//
// Versions of a key rise with each write; version 0 means that there is no
// such key. A call fails with kUnavailable if it was certainly not made, with
// kConflict if the version was another one, and with kUnknown if no answer
// came: a write may then have taken effect. Calls block. Implementations are
// thread-safe. docs/PLATFORM.md describes the protocol.

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>

#include "kumquatmoor/protocol/failure.h"

namespace kumquatmoor {

struct PlatformEntry {
  std::string value;
  uint64_t version = 0;  // 0: there is no such key.
};

struct LeaseRequest {
  std::string name;
  std::string owner;
  std::chrono::milliseconds ttl{6'000};
};

class Platform {
 public:
  Platform() = default;
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;
  virtual ~Platform() = default;

  virtual Result<PlatformEntry> Get(const std::string& key) = 0;
  // Writes `value` if the key has `expected_version`. Gives the new version.
  virtual Result<uint64_t> CompareAndSwap(const std::string& key,
                                          uint64_t expected_version,
                                          const std::string& value) = 0;
  // Waits until the key's version is above `after_version`, or for `wait`.
  virtual Result<PlatformEntry> Watch(const std::string& key,
                                      uint64_t after_version,
                                      std::chrono::milliseconds wait) = 0;
  // Takes or renews a lease. False if another owner holds it.
  virtual Result<bool> HoldLease(const LeaseRequest& request) = 0;
  virtual Result<bool> Delete(const std::string& key) = 0;
};

// Number of calls made, by kind.
struct PlatformCalls {
  std::atomic<uint64_t> get{0};
  std::atomic<uint64_t> swap{0};
  std::atomic<uint64_t> watch{0};
  std::atomic<uint64_t> lease{0};
  std::atomic<uint64_t> remove{0};
  std::atomic<uint64_t> failed{0};
};

struct HttpPlatformOptions {
  std::string address;  // "IP:PORT".
  std::chrono::milliseconds timeout{2'000};
};

class HttpPlatform : public Platform {
 public:
  explicit HttpPlatform(HttpPlatformOptions options)
      : m_options(std::move(options)) {}

  Result<PlatformEntry> Get(const std::string& key) override;
  Result<uint64_t> CompareAndSwap(const std::string& key,
                                  uint64_t expected_version,
                                  const std::string& value) override;
  Result<PlatformEntry> Watch(const std::string& key, uint64_t after_version,
                              std::chrono::milliseconds wait) override;
  Result<bool> HoldLease(const LeaseRequest& request) override;
  Result<bool> Delete(const std::string& key) override;

  const PlatformCalls& Calls() const { return m_calls; }

 private:
  HttpPlatformOptions m_options;
  PlatformCalls m_calls;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_PLATFORM_H_
