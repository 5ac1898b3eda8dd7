#ifndef KUMQUATMOOR_SRC_NODE_ADMISSION_REASONS_H_
#define KUMQUATMOOR_SRC_NODE_ADMISSION_REASONS_H_

// Why Admission refuses a request, in AdmissionResult::reason.
//
//   if (result.reason == kNoSlotInTime) ...

#include <string_view>

namespace kumquatmoor {

inline constexpr std::string_view kDraining = "draining";
inline constexpr std::string_view kRecalled = "version was recalled";
inline constexpr std::string_view kDuplicate = "request id was seen before";
inline constexpr std::string_view kClosed = "version has no share any more";
inline constexpr std::string_view kAllSlotsTaken = "all slots are taken";
inline constexpr std::string_view kNoSlotInTime = "no slot in time";
inline constexpr std::string_view kNoLinkInTime = "the host's link is full";
inline constexpr std::string_view kRetryBudget = "the retry budget is used up";
inline constexpr std::string_view kBackendLimit =
    "the limit of the backend server is reached";
inline constexpr std::string_view kNoSuchBackend =
    "no such backend server here";
inline constexpr std::string_view kEvacuated = "the zone is evacuated";
inline constexpr std::string_view kColdLimit = "the backend server is cold";

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_NODE_ADMISSION_REASONS_H_
