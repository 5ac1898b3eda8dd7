#ifndef KUMQUATMOOR_STATE_CRASH_SUSPECTS_H_
#define KUMQUATMOOR_STATE_CRASH_SUSPECTS_H_

// CrashSuspects: the requests that ran on backend servers when these crashed,
// replicated as a join semilattice.
//
//   CrashSuspects suspects;
//   for (const auto& record : suspects.AddCrash(crash, unix_ms)) Push(record);
//   if (suspects.StandingOf(key, "bookings", "v1").blocked) Refuse();
//
// A request is identified by a key, which is the same for each repetition
// (RequestKey). When a backend server crashes, the requests that it ran are
// suspects, since any of them may be the cause. If some of them were suspects
// before, only those with the most crashes are counted again.
//
// - A request that has crashed kCrashesToBlock instances is blocked on the
//   versions that it crashed. Another version may run it until its first crash.
//   After crashes of kVersionsToBlock versions it is blocked on all of them.
// - A response of a version to a request clears it on this version for good;
//   on other versions their own crashes count then.
// - Clear() forgets all of this; so does kLifetime without a further crash.
//
// The number of records is bounded. Requests that no crash has hit have no
// record, and records that are not blocked are dropped first, so callers cannot
// displace a blocked request by inventing others.
//
// Not thread-safe; copies are independent.

#include <chrono>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "control.pb.h"

namespace kumquatmoor {

// Crashed instances that suffice to block a request.
inline constexpr uint32_t kCrashesToBlock = 3;
// Crashed versions that suffice to block a request on every version.
inline constexpr uint32_t kVersionsToBlock = 3;
// Crashes from which on a request runs apart from other such requests.
inline constexpr uint32_t kCrashesToIsolate = 2;

// What makes two requests the same one.
struct RequestIdentity {
  std::string_view host;  // The host of its route, or the service.
  std::string_view method;
  std::string_view target;  // Path and query.
  std::string_view caller;  // Service on the host where the request began.
  std::string_view body;    // At least its beginning.
  uint64_t body_bytes = 0;  // Length of the whole body, 0 if not known.
};

// A hash of the identity, as 32 hexadecimal digits.
std::string RequestKey(const RequestIdentity& identity);

// The crash of one backend server.
struct BackendCrash {
  std::string service;
  std::string version;
  // Identifies the process. Two crashes of one instance count once.
  std::string instance;
  std::vector<std::string> keys;  // Of the requests that it ran.
};

// How a request stands with one version of a service.
struct CrashStanding {
  uint32_t crashes = 0;  // Of any version; 0 if this version is cleared.
  bool blocked = false;
};

class CrashSuspects {
 public:
  static constexpr size_t kMaxRecords = 1'024;
  static constexpr std::chrono::hours kLifetime{1};

  // Counts a crash. `unix_ms` is the time of day. Returns the changed records.
  std::vector<CrashRecord> AddCrash(const BackendCrash& crash, int64_t unix_ms);
  // Records that a version responded to the request. Returns the changed
  // record, none if the request is no suspect on this version.
  std::vector<CrashRecord> AddResponse(const std::string& key,
                                       std::string_view service,
                                       std::string_view version);
  // Forgets the crashes of a request. Returns the changed record, none if there
  // is none.
  std::vector<CrashRecord> Clear(const std::string& key);
  // Joins a record of another node. Returns true if the set changed.
  bool Join(const CrashRecord& record);
  // Drops the records whose latest crash is older than kLifetime. Returns true
  // if the set changed.
  bool DropExpired(int64_t unix_ms);

  CrashStanding StandingOf(const std::string& key, std::string_view service,
                           std::string_view version) const;
  // True if there is a record of the request.
  bool Contains(const std::string& key) const {
    return m_records.count(key) > 0;
  }
  // The record of a request, empty if there is none.
  CrashRecord RecordOf(const std::string& key) const;
  std::vector<CrashRecord> All() const;
  bool IsEmpty() const { return m_records.empty(); }
  // Requests that are blocked on a version.
  size_t BlockedCount() const;
  // Equal sets have equal hashes.
  uint64_t Hash() const { return m_hash; }

 private:
  using Records = std::map<std::string, CrashRecord, std::less<>>;

  // Replaces a record, which changes the hash.
  void Store(CrashRecord record);
  void Erase(Records::iterator record);
  // Drops the least important records beyond kMaxRecords.
  void Truncate();

  Records m_records;    // By key.
  uint64_t m_hash = 0;  // Exclusive or of the hashes of all records.
};

// True if the record blocks the request on at least one version.
bool IsBlockedAnywhere(const CrashRecord& record);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_CRASH_SUSPECTS_H_
