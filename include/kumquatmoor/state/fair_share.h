#ifndef KUMQUATMOOR_STATE_FAIR_SHARE_H_
#define KUMQUATMOOR_STATE_FAIR_SHARE_H_

// FairShare: start-time fair queueing (SFQ) between the organisations whose
// requests one backend server runs.
//
//   FairShare shares;
//   if (shares.StartTag("a") <= shares.StartTag("b")) {
//     shares.OnStarted("a", run_time);
//   }
//
// Each organisation has a virtual finish time, which rises by the expected run
// time of each of its requests that starts. The next request to start is one of
// the organisation with the lowest start tag: its finish time, or the virtual
// time if that is later. An organisation that was idle thus begins level with
// the others and gains nothing from having been idle.
//
// An organisation is forgotten once the virtual time has passed its finish
// time, as it then is like one that was never seen. At most kMaxOrganisations
// are kept; others share one finish time. Not thread-safe.

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace kumquatmoor {

class FairShare {
 public:
  // A virtual time.
  using Tag = std::chrono::milliseconds;

  static constexpr size_t kMaxOrganisations = 256;

  // The tag of the next request of this organisation. Requests without an
  // organisation ("") count as those of one.
  Tag StartTag(std::string_view organisation) const;
  // A request with this expected run time starts.
  void OnStarted(std::string_view organisation,
                 std::chrono::milliseconds run_time);
  size_t Size() const { return m_finish.size(); }

 private:
  void ForgetIdle();

  Tag m_now{0};     // Start tag of the request that started last.
  Tag m_others{0};  // Finish time of the organisations without an entry.
  std::map<std::string, Tag, std::less<>> m_finish;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_FAIR_SHARE_H_
