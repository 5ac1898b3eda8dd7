#ifndef KUMQUATMOOR_STATE_ROUTES_H_
#define KUMQUATMOOR_STATE_ROUTES_H_

// RouteTable: an immutable snapshot of where requests may go.
//
//   auto routes = BuildRoutes(batch, marks, members, "zone-a");
//   const ServiceRoutes* service = routes->Find("bookings");
//
// Routes are computed from the rows of the batch and the targets that this
// node knows, so no route names a service or version that the node lacks. A
// new snapshot replaces the old one whole. Snapshots are immutable and safe
// to read from any thread.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "control.pb.h"
#include "kumquatmoor/state/http_routes.h"
#include "kumquatmoor/state/marks.h"

namespace kumquatmoor {

// One backend server behind its node.
struct Target {
  std::string member_id;
  std::string zone;
  std::string version;
  std::string data_address;
  int64_t incarnation = 0;  // Of the node.
  uint32_t slots = 1;       // Requests that the backend server runs at once.
};

// The targets of one version and its share of the traffic.
struct VersionRoutes {
  std::string version;     // Of the row; its targets' own may differ.
  double read_share = 0;   // Of idempotent requests, 0 to 1.
  double write_share = 0;  // Of the others; follows one stage behind.
  uint32_t max_concurrent = 0;
  uint32_t max_rate = 0;
  // Its targets are filled one after the other instead of evenly, so that a
  // small share puts the load of a large one on some of them.
  bool packed = false;
  std::vector<Target> targets;  // Never empty.
};

struct ServiceRoutes {
  std::string service;
  uint64_t move_revision = 0;
  std::vector<VersionRoutes> versions;  // Those with a target and a share.

  const VersionRoutes* Find(std::string_view version) const;
};

struct RouteTable {
  uint64_t revision = 0;  // Of the batch.
  // Routes by host and path; empty if the batch has none.
  std::shared_ptr<const HttpRouteIndex> http_routes;
  std::string zone;  // Of the node that routes.
  // Unchanged services are shared with the snapshot before.
  std::map<std::string, std::shared_ptr<const ServiceRoutes>, std::less<>>
      services;
  // (service, version) pairs that were taken back; targets refuse them.
  std::set<std::pair<std::string, std::string>> recalled;

  const ServiceRoutes* Find(std::string_view service) const;
};

// The stages that a move goes through, in thousandths of the move.
inline constexpr uint32_t kStages[] = {0, 10, 50, 200, 500, 1000};

// The stage after `stage`; kFullStage stays.
uint32_t NextStage(uint32_t stage);
// The stage before `stage`; 0 stays.
uint32_t PreviousStage(uint32_t stage);

// The share of `row` in `zone`, 0 to 1, at the given stage of its move.
double ShareAt(const Row& row, uint32_t stage_permille, bool recalled);

// The snapshot for a node in `zone`. Members that are not alive, and endpoints
// that drain, are left out.
std::shared_ptr<const RouteTable> BuildRoutes(
    const Batch& batch, const MarkSet& marks,
    std::span<const MemberRecord> members, const std::string& zone);

// Gives the members that may have targets of a service.
using MembersOfService =
    std::function<std::vector<MemberRecord>(const std::string& service)>;

// The snapshot after `previous`, which differs in the services `changed` only.
std::shared_ptr<const RouteTable> UpdateRoutes(
    const RouteTable& previous, const Batch& batch, const MarkSet& marks,
    const std::set<std::string>& changed, const MembersOfService& members_of);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_ROUTES_H_
