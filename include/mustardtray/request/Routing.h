#pragma once

/// Messages between the scheduler of a service and the code that owns the sockets.

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "mustardtray/process/EnumNames.h"
#include "mustardtray/process/Time.h"

namespace mustardtray {

/// Names one request within this process; never reused while the request is known.
using RequestId = std::uint64_t;

/// How often a request was passed on between entry VMs. Each kind of hop happens at most once, so
/// that a request never comes back to an entry VM that passed it on.
struct Hops
{
  bool m_withinZone = false;
  bool m_acrossZones = false;
};

/// What the scheduler needs to know of a request.
struct RequestInfo
{
  RequestId m_id = 0;
  std::size_t m_queue = 0; ///< Index into ServiceConfig::m_queues.
  TimePoint m_deadline;    ///< By when the whole answer has to be there.
  bool m_idempotent = false;
  Hops m_hops; ///< As received with a forwarded request.
};

enum class RefusalReason
{
  QueueFull,        ///< As many requests wait as the queue's configuration allows.
  DeadlineTooClose, ///< The work ahead and the run time do not fit before the deadline.
  DeadlinePassed,   ///< It waited until it could no longer meet its deadline.
  NoMinion,         ///< No minion and no other entry VM can take it.
  RetriesSpent,     ///< The attempt did not run and the retry budget allows no other.
  UnknownQueue,     ///< The queue's index is outside the configuration in force.
  DuplicateId,      ///< A request with this id is still known.
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

/// The end of a request that is not answered by a minion.
struct Refusal
{
  RefusalReason m_reason = RefusalReason::QueueFull;
  Millis m_retryAfter{ 0 };  ///< When the work ahead will have been done, by measured run times.
  bool m_mayHaveRun = false; ///< An earlier attempt may have run: the outcome is unknown.
};

/// A queued request that is given up.
struct Expired
{
  RequestId m_request = 0;
  Refusal m_refusal;
};

enum class TargetKind
{
  Minion,
  EntryVm, ///< Another entry VM, which routes the request further.
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

/// Why a request goes where it goes; for logs and metrics.
enum class RouteReason
{
  FreeSlot,  ///< A healthy minion had a free slot.
  Floor,     ///< The same, taken before urgent work because the queue's floor was due.
  Probe,     ///< Tests a minion under suspicion.
  ZonePeer,  ///< No slot here; an entry VM of this zone has room.
  OtherZone, ///< No slot in this zone; an entry VM of another zone has room.
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

/// Sends a request to a target now.
struct Assignment
{
  RequestId m_request = 0;
  Target m_target;
  RouteReason m_reason = RouteReason::FreeSlot;
  Micros m_timeout{ 0 }; ///< For this attempt; report TimedOut after it.
  Hops m_hops;           ///< To send along when the target is an entry VM.
  int m_attempt = 1;
};

/// How an attempt ended.
enum class AttemptOutcome
{
  Succeeded,     ///< A whole answer below 500, or any whole answer that an entry VM passed on.
  MinionFailed,  ///< A whole answer of 500 or above.
  NotSent,       ///< No connection was made.
  RefusedNotRun, ///< The target said explicitly that it did not run the request.
  Broken,        ///< The connection ended early, or the answer was short or foreign.
  TimedOut,      ///< The minion may go on working: its slot stays taken.
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

/// What to do with a request after an attempt.
enum class NextStep
{
  PassOn, ///< Send the received answer to the caller.
  Retry,  ///< Keep the request; a later Assignment names its next target.
  Refuse, ///< Tell the caller that it did not run.
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

struct AttemptVerdict
{
  NextStep m_step = NextStep::Unknown;
  Refusal m_refusal; ///< Of NextStep::Refuse.
};

/// This entry VM's share of one minion.
struct MinionShare
{
  std::string m_id;
  int m_slots = 0;
  int m_connections = 0;
};

/// What another entry VM can take of this service, from its last heartbeat.
struct PeerRoom
{
  std::string m_id;
  bool m_sameZone = false;
  int m_freeUrgent = 0;  ///< Urgent requests that would start at once.
  int m_freeMayWait = 0; ///< May-wait requests that would start at once.
  Micros m_roundTrip{ 0 };
};

/// What other entry VMs need to know of this service here.
struct ServiceLoad
{
  int m_slots = 0; ///< Usable ones, free or taken.
  int m_freeUrgent = 0;
  int m_freeMayWait = 0;
  int m_queuedUrgent = 0;
  int m_queuedMayWait = 0;
  int m_reserve = 0; ///< Slots that may-wait work leaves free for urgent work.
  Micros m_meanRun{ 0 };
};

} // namespace mustardtray
