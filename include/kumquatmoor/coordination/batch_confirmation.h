#ifndef KUMQUATMOOR_COORDINATION_BATCH_CONFIRMATION_H_
#define KUMQUATMOOR_COORDINATION_BATCH_CONFIRMATION_H_

// BatchConfirmation: as of when this node's batch is known to be the newest one
// of the store.
//
//   BatchConfirmation confirmation;
//   confirmation.OnRead(began);               // A read of the store succeeded.
//   if (confirmation.OnReceive(datagram, own, now)) ...  // Probe the sender.
//   confirmation.OnSend(now, &datagram);      // Adds the age to the digest.
//   if (confirmation.TakePushDue(now)) ...    // Send digests to some members.
//   if (now - *confirmation.At() > limit) RefuseKeys();
//
// A batch is confirmed as of a time if a read of the store that began at that
// time showed nothing newer. A later batch of the same node is confirmed by it,
// too. Nodes pass confirmations on as ages, in the digests of their datagrams:
//
// - An ACK answers a probe of this node, so the sender measured the age after
//   the probe was sent. The time of the probe minus the age is a lower bound
//   for any delay of the two datagrams.
// - Any other datagram holds as of its arrival minus the age, and minus a
// margin
//   for the time in flight. One that waited in the socket's buffer while this
//   process was paused could be of any age. After a pause such datagrams are
//   ignored until a probe that was sent after it is acknowledged.
//
// The margin would add up on the way through a mesh. A node that hears of a
// much fresher confirmation therefore probes the sender, and passes on what the
// ACK says.
//
// Times are those of BootClock, which also counts suspensions. Not thread-safe.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "control.pb.h"
#include "kumquatmoor/state/boot_clock.h"
#include "kumquatmoor/state/store_revision.h"

namespace kumquatmoor {

// The batch of this node.
struct ConfirmedBatch {
  BatchStamp stamp;
  uint64_t digest = 0;  // BatchDigest().
};

class BatchConfirmation {
 public:
  // Subtracted for the time in flight of a datagram that answers no probe.
  static constexpr std::chrono::milliseconds kFlightMargin{500};
  // A time without a call of NoteRunning that counts as a pause. Below the
  // margin, so that a datagram that waited for less is covered by it.
  static constexpr std::chrono::milliseconds kPause{400};
  // Members are told of a confirmation that is fresher by this time than the
  // last one that they were told of.
  static constexpr std::chrono::milliseconds kPushStep{400};
  // How long the ACK of a probe is awaited.
  static constexpr std::chrono::milliseconds kAckTimeout{100};

  // To be called at the beginning of each tick and for each datagram.
  void NoteRunning(BootTime now);
  // A read of the store that began at that time showed no batch that is newer
  // than this node's.
  void OnRead(BootTime began) { Adopt(began); }
  // Takes over the confirmation in a datagram that arrived at `now`, if it is
  // fresher. `own` is the batch after the datagram was applied. Returns true if
  // the sender should be probed, as it probably has a much fresher one.
  bool OnReceive(const Datagram& datagram, const ConfirmedBatch& own,
                 BootTime now);
  // Adds the age to the digest of a datagram that is about to be sent, and
  // remembers when a probe was sent.
  void OnSend(BootTime now, Datagram* datagram);
  // True if members should be told. Only once for each confirmation, and not
  // while the ACK of such a probe is awaited.
  bool TakePushDue(BootTime now);
  // Empty if there is no confirmation.
  std::optional<BootTime> At() const { return m_at; }

 private:
  // More than the probes that a node and its relays have in flight.
  static constexpr size_t kMaxProbes = 64;

  void Adopt(BootTime at);
  // True if the sender of a confirmation that is possibly as of `claimed`
  // should be probed. Once for each step.
  bool TakeProbeDue(BootTime claimed, BootTime now);
  // When the probe that the datagram acknowledges was sent.
  std::optional<BootTime> TakeProbe(const Datagram& datagram);

  std::optional<BootTime> m_at;
  std::optional<BootTime> m_pushed;
  std::optional<BootTime> m_claimed;       // For which a member was probed.
  std::optional<BootTime> m_awaits_until;  // For the ACK of that probe.
  std::optional<BootTime> m_last_run;
  // When the process was found to have been paused; empty once a later probe
  // was acknowledged.
  std::optional<BootTime> m_resumed_at;
  std::map<uint64_t, BootTime> m_probes;  // By sequence number.
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_BATCH_CONFIRMATION_H_
