#pragma once

/// Data types passed between a service's scheduler and the code that performs the network I/O.

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "mustardtray/process/EnumNames.h"
#include "mustardtray/process/Time.h"

namespace mustardtray {

/// Identifies a request within this process. Not reused while the request is in progress.
using RequestId = std::uint64_t;

/// Hops that a request has made between entry VMs. A request makes each kind of hop at most once,
/// so that it never returns to an entry VM that forwarded it.
struct Hops
{
  bool m_withinZone = false;
  bool m_acrossZones = false;
};

/// Properties of a request that the scheduler needs.
struct RequestInfo
{
  RequestId m_id = 0;
  std::size_t m_queue = 0; ///< Index into ServiceConfig::m_queues.
  TimePoint m_deadline;    ///< Latest time for the complete response.
  bool m_idempotent = false;
  Hops m_hops; ///< Hops made before this entry VM.
};

enum class RefusalReason
{
  QueueFull,        ///< The queue holds the configured maximum of requests.
  DeadlineTooClose, ///< Estimated waiting and run times exceed the deadline.
  DeadlinePassed,   ///< The request waited until it could not meet its deadline.
  NoMinion,         ///< No minion and no other entry VM can receive the request.
  RetriesSpent, ///< The attempt did not run, and the retry budget or attempt limit is exhausted.
  UnknownQueue, ///< The current configuration has no queue with this index.
  DuplicateId,  ///< A request with this id is in progress.
};

template<>
struct EnumNames<RefusalReason>
{
  static constexpr std::array kTable{
    std::pair{ RefusalReason::QueueFull, std::string_view("queue-full") },
    std::pair{ RefusalReason::DeadlineTooClose, std::string_view("deadline-too-close") },
    std::pair{ RefusalReason::DeadlinePassed, std::string_view("deadline-passed") },
    std::pair{ RefusalReason::NoMinion, std::string_view("no-minion") },
    std::pair{ RefusalReason::RetriesSpent, std::string_view("retries-spent") },
    std::pair{ RefusalReason::UnknownQueue, std::string_view("unknown-queue") },
    std::pair{ RefusalReason::DuplicateId, std::string_view("duplicate-id") },
  };
};

/// Result of a request that ends without a minion's response.
struct Refusal
{
  RefusalReason m_reason = RefusalReason::QueueFull;
  Millis m_retryAfter{ 0 };  ///< Estimated time until the queued work is done.
  bool m_mayHaveRun = false; ///< An earlier attempt may have run, so the outcome is unknown.
};

/// A queued request that was removed because it can no longer meet its deadline.
struct ExpiredRequest
{
  RequestId m_request = 0;
  Refusal m_refusal;
};

enum class TargetKind
{
  Minion,
  EntryVm, ///< Another entry VM, which routes the request to a minion.
};

template<>
struct EnumNames<TargetKind>
{
  static constexpr std::array kTable{
    std::pair{ TargetKind::Minion, std::string_view("minion") },
    std::pair{ TargetKind::EntryVm, std::string_view("entry-vm") },
  };
};

struct Target
{
  TargetKind m_kind = TargetKind::Minion;
  std::string m_id;
};

/// Reason for the choice of a target, for logs and metrics.
enum class RouteReason
{
  FreeSlot,  ///< A healthy minion had a free slot.
  Floor,     ///< As FreeSlot, but ahead of urgent work because the queue was below its floor.
  Probe,     ///< Probe of an unhealthy minion.
  ZonePeer,  ///< No local slot; an entry VM in this zone has free capacity.
  OtherZone, ///< No slot in this zone; an entry VM in another zone has free capacity.
};

template<>
struct EnumNames<RouteReason>
{
  static constexpr std::array kTable{
    std::pair{ RouteReason::FreeSlot, std::string_view("free-slot") },
    std::pair{ RouteReason::Floor, std::string_view("floor") },
    std::pair{ RouteReason::Probe, std::string_view("probe") },
    std::pair{ RouteReason::ZonePeer, std::string_view("zone-peer") },
    std::pair{ RouteReason::OtherZone, std::string_view("other-zone") },
  };
};

/// Instruction to send a request to a target now.
struct Assignment
{
  RequestId m_request = 0;
  Target m_target;
  RouteReason m_reason = RouteReason::FreeSlot;
  Micros m_timeout{ 0 }; ///< Time limit of the attempt; TimedOut is reported after it.
  Hops m_hops;           ///< Sent with the request if the target is an entry VM.
  int m_attempt = 1;
};

/// Outcome of an attempt.
enum class AttemptOutcome
{
  Succeeded,     ///< Complete response with a status below 500, or any relayed by an entry VM.
  MinionFailed,  ///< Complete response with a status of 500 or above.
  NotSent,       ///< No connection was established.
  RefusedNotRun, ///< The target stated explicitly that it did not run the request.
  Broken,        ///< Connection lost, invalid response, or outcome unknown to the target.
  TimedOut,      ///< The minion may still be running the request, so its slot stays taken.
};

template<>
struct EnumNames<AttemptOutcome>
{
  static constexpr std::array kTable{
    std::pair{ AttemptOutcome::Succeeded, std::string_view("succeeded") },
    std::pair{ AttemptOutcome::MinionFailed, std::string_view("minion-failed") },
    std::pair{ AttemptOutcome::NotSent, std::string_view("not-sent") },
    std::pair{ AttemptOutcome::RefusedNotRun, std::string_view("refused-not-run") },
    std::pair{ AttemptOutcome::Broken, std::string_view("broken") },
    std::pair{ AttemptOutcome::TimedOut, std::string_view("timed-out") },
  };
};

/// Action after an attempt.
enum class NextStep
{
  PassOn, ///< Send the received response to the caller.
  Retry,  ///< Queue the request again; a later Assignment selects its next target.
  Refuse, ///< Tell the caller that the request did not run.
  Unknown ///< Tell the caller that the outcome is unknown.
};

template<>
struct EnumNames<NextStep>
{
  static constexpr std::array kTable{
    std::pair{ NextStep::PassOn, std::string_view("pass-on") },
    std::pair{ NextStep::Retry, std::string_view("retry") },
    std::pair{ NextStep::Refuse, std::string_view("refuse") },
    std::pair{ NextStep::Unknown, std::string_view("unknown") },
  };
};

struct AttemptDecision
{
  NextStep m_step = NextStep::Unknown;
  Refusal m_refusal; ///< Set for NextStep::Refuse.
};

/// This entry VM's share of one minion.
struct MinionShare
{
  std::string m_id;
  int m_slots = 0;
  int m_connections = 0;
};

/// Free capacity of another entry VM for this service, from its last heartbeat.
struct PeerCapacity
{
  std::string m_id;
  bool m_isSameZone = false;
  int m_freeUrgent = 0;  ///< Urgent requests that it could start immediately.
  int m_freeMayWait = 0; ///< May-wait requests that it could start immediately.
  Micros m_roundTrip{ 0 };
};

/// Load of a service at this entry VM, as reported to the other entry VMs.
struct ServiceLoad
{
  int m_slots = 0; ///< Slots at healthy minions, free or taken.
  int m_freeUrgent = 0;
  int m_freeMayWait = 0;
  int m_queuedUrgent = 0;
  int m_queuedMayWait = 0;
  int m_reserve = 0; ///< Slots that may-wait requests leave free for urgent requests.
  /// Mean run time, where each queue counts with its running requests plus one.
  Micros m_meanRunTime{ 0 };
};

} // namespace mustardtray
