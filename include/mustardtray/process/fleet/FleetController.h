#pragma once

/// The shell around the fleet decisions: reads the rows, submits the due steps, answers operators.
/// Every entry VM runs one. Its I/O is the platform's; time is handed in.

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "mustardtray/process/Log.h"
#include "mustardtray/process/Platform.h"
#include "mustardtray/process/fleet/FleetDecider.h"

namespace mustardtray {

/// All calls and the platform's callbacks happen on the control thread.
template<PlatformAccess Platform>
class FleetController
{
public:
  FleetController(Platform& aPlatform, std::string aNode, FleetPolicy aPolicy)
    : m_platform(aPlatform)
    , m_node(aNode)
    , m_decider(std::move(aNode), aPolicy)
    , m_alive(std::make_shared<bool>(true))
  {
  }
  FleetController(const FleetController&) = delete;
  FleetController& operator=(const FleetController&) = delete;

  void SetConfiguration(std::shared_ptr<const Configuration> aConfiguration)
  {
    m_decider.SetConfiguration(std::move(aConfiguration));
  }
  /// Told of each VM list that was read, and of a time before it was asked for.
  using VmListListener = std::function<void(const std::vector<VmListing>&, TimePoint)>;
  void SetVmListListener(VmListListener aListener) { m_onVmList = std::move(aListener); }
  /// Loads of all pools since the last call, as all entry VMs see them.
  void AddLoads(const std::vector<PoolLoad>& aLoads, TimePoint aNow)
  {
    m_decider.TakeLoads(aLoads, aNow);
  }

  /// Call about once a second. A round that is still waiting for the platform is given up after
  /// kRoundTimeout; its late answers are not used.
  void Tick(TimePoint aNow, WallTime aWallNow);

  /// Operators' requests are carried out in the next rounds. A repeat under the same operation id
  /// does nothing. The callback gets the operation id, or: Refused with the reason, NotFound, and
  /// Unknown when no answer came in kMaxTries rounds.
  void Drain(const std::string& aVm, const std::string& aOperationId, Callback<std::string> aDone);
  void Release(const std::string& aVm, Callback<std::string> aDone);
  void Maintain(const Selector& aSelector,
                const std::string& aOperationId,
                Callback<std::string> aDone);
  void Pause(const std::string& aWave, Callback<std::string> aDone);
  void Resume(const std::string& aWave, Callback<std::string> aDone);
  void Cancel(const std::string& aWave, Callback<std::string> aDone);

  std::vector<std::string> Explain(const std::string& aVm) const { return m_decider.Explain(aVm); }
  std::optional<WaveProgress> Progress(const std::string& aWave) const
  {
    return m_decider.ProgressOf(aWave);
  }
  const FleetView& View() const { return m_decider.View(); }

private:
  static constexpr Millis kRoundTimeout{ 5'000 };
  static constexpr Millis kListPeriod{ 5'000 }; ///< The list lags by more.
  static constexpr int kMaxTries = 20;

  struct PendingRequest
  {
    OperatorRequest m_request;
    Callback<std::string> m_done;
    int m_tries = 0;
    bool m_isSent = false;
  };

  /// Wraps a callback so that it does nothing once the controller is gone.
  template<typename T, typename Handler>
  Callback<T> Guarded(Handler aHandler)
  {
    return [alive = std::weak_ptr<bool>(m_alive), aHandler](Result<T> aResult) {
      if (alive.lock()) {
        aHandler(std::move(aResult));
      }
    };
  }
  /// The same, for answers that belong to the present round only.
  template<typename T, typename Handler>
  Callback<T> InRound(Handler aHandler)
  {
    return Guarded<T>([this, round = m_round, aHandler](Result<T> aResult) {
      if (round == m_round && m_isBusy) {
        aHandler(std::move(aResult));
      }
    });
  }

  void Scan(std::size_t aIndex);
  void ListVms();
  void Submit();
  void SubmitTransaction(const FleetStep& aStep);
  void SubmitAction(const VmActionRequest& aRequest);
  void SubmitRequests();
  void SubmitRequest(const std::shared_ptr<PendingRequest>& aPending);
  void OnRequestAnswer(const std::shared_ptr<PendingRequest>& aPending,
                       const Result<Commit>& aResult);
  void Finish(const std::shared_ptr<PendingRequest>& aPending, Result<std::string> aResult);
  void AddRequest(OperatorRequest aRequest, Callback<std::string> aDone);
  void LogReasons();

  Platform& m_platform;
  std::string m_node;
  FleetDecider m_decider;
  std::shared_ptr<bool> m_alive;
  std::array<std::uint64_t, kScanOrder.size()> m_revisions{};
  std::vector<std::shared_ptr<PendingRequest>> m_requests;
  std::map<std::string, std::string> m_loggedReasons;
  std::uint64_t m_round = 0;
  bool m_isBusy = false;
  TimePoint m_roundStart{};
  VmListListener m_onVmList;
  std::optional<TimePoint> m_listedAt; ///< When the VM list was last read.
  WallTime m_roundWall{};
};

template<PlatformAccess Platform>
void FleetController<Platform>::Tick(TimePoint aNow, WallTime aWallNow)
{
  if (m_isBusy && aNow - m_roundStart < kRoundTimeout) {
    return;
  }
  ++m_round;
  m_isBusy = true;
  m_roundStart = aNow;
  m_roundWall = aWallNow;
  Scan(0);
}

template<PlatformAccess Platform>
void FleetController<Platform>::Scan(std::size_t aIndex)
{
  if (aIndex == kScanOrder.size()) {
    ListVms();
    return;
  }
  m_platform.Scan(
    std::string(kScanOrder[aIndex]),
    m_revisions[aIndex],
    InRound<ScanPage>([this, aIndex](Result<ScanPage> aPage) {
      if (!aPage) {
        Log(LogCategory::Fleet, LogLevel::Warning, "scan-failed", "error", aPage.error().Text());
        m_isBusy = false;
        return;
      }
      m_revisions[aIndex] = aPage.value().m_revision;
      m_decider.TakeRows(aPage.value(), m_roundStart);
      Scan(aIndex + 1);
    }));
}

template<PlatformAccess Platform>
void FleetController<Platform>::ListVms()
{
  if (m_listedAt && m_roundStart - *m_listedAt < kListPeriod) {
    Submit();
    m_isBusy = false;
    return;
  }
  m_platform.ListVms(InRound<std::vector<VmListing>>([this](Result<std::vector<VmListing>> aList) {
    if (aList) {
      m_decider.TakeVmList(aList.value(), m_roundStart);
      if (m_onVmList) {
        m_onVmList(aList.value(), m_roundStart);
      }
      m_listedAt = m_roundStart;
    } else {
      Log(LogCategory::Fleet, LogLevel::Warning, "list-failed", "error", aList.error().Text());
    }
    Submit();
    m_isBusy = false;
  }));
}

template<PlatformAccess Platform>
void FleetController<Platform>::Submit()
{
  const std::vector<FleetStep> steps = m_decider.Decide(m_roundStart, m_roundWall);
  LogReasons();
  for (const FleetStep& step : steps) {
    const LogLevel level = step.m_leaseScope.empty() ? LogLevel::Info : LogLevel::Debug;
    Log(LogCategory::Fleet,
        level,
        step.m_event,
        "subject",
        step.m_subject,
        "reason",
        step.m_reason,
        "controller",
        m_node);
    if (step.m_transaction) {
      SubmitTransaction(step);
    } else {
      SubmitAction(*step.m_action);
    }
  }
  SubmitRequests();
}

template<PlatformAccess Platform>
void FleetController<Platform>::SubmitTransaction(const FleetStep& aStep)
{
  // No answer but a renewed lease is remembered: the next round reads what became of the rows.
  const auto onAnswer =
    [this, scope = aStep.m_leaseScope, sentAt = m_roundStart, aStep](Result<Commit> aResult) {
      if (!aResult) {
        Log(LogCategory::Fleet,
            LogLevel::Warning,
            "write-failed",
            "step",
            aStep.m_event,
            "subject",
            aStep.m_subject,
            "error",
            aResult.error().Text());
      } else if (aResult.value().m_isCommitted && !scope.empty()) {
        m_decider.TakeLease(scope, sentAt);
      } else if (!aResult.value().m_isCommitted) {
        Log(LogCategory::Fleet,
            LogLevel::Debug,
            "write-conflict",
            "step",
            aStep.m_event,
            "subject",
            aStep.m_subject);
      }
    };
  m_platform.Transact(*aStep.m_transaction, Guarded<Commit>(onAnswer));
}

template<PlatformAccess Platform>
void FleetController<Platform>::SubmitAction(const VmActionRequest& aRequest)
{
  const auto onAnswer = [this, id = aRequest.m_operationId](Result<ActionState> aState) {
    if (aState) {
      m_decider.TakeActionState(id, aState.value());
    } else {
      Log(LogCategory::Fleet,
          LogLevel::Warning,
          "action-unanswered",
          "operation",
          id,
          "error",
          aState.error().Text());
    }
  };
  m_platform.RunVmAction(aRequest, Guarded<ActionState>(onAnswer));
}

template<PlatformAccess Platform>
void FleetController<Platform>::SubmitRequests()
{
  const auto requests = m_requests;
  for (const auto& pending : requests) {
    if (!pending->m_isSent) {
      SubmitRequest(pending);
    }
  }
}

template<PlatformAccess Platform>
void FleetController<Platform>::SubmitRequest(const std::shared_ptr<PendingRequest>& aPending)
{
  auto transaction = m_decider.PlanRequest(aPending->m_request);
  if (!transaction) {
    Finish(aPending, transaction.error());
    return;
  }
  if (transaction.value().m_writes.empty()) {
    Finish(aPending, aPending->m_request.m_operationId);
    return;
  }
  aPending->m_isSent = true;
  ++aPending->m_tries;
  m_platform.Transact(transaction.value(),
                      Guarded<Commit>([this, aPending](Result<Commit> aResult) {
                        OnRequestAnswer(aPending, aResult);
                      }));
}

template<PlatformAccess Platform>
void FleetController<Platform>::OnRequestAnswer(const std::shared_ptr<PendingRequest>& aPending,
                                                const Result<Commit>& aResult)
{
  aPending->m_isSent = false;
  if (aResult && aResult.value().m_isCommitted) {
    Finish(aPending, aPending->m_request.m_operationId);
  } else if (aPending->m_tries >= kMaxTries) {
    const std::string step = std::string(ToName(aPending->m_request.m_kind));
    Finish(aPending, Error{ ErrorKind::Unknown, step, "table", "no answer; ask again" });
  }
}

template<PlatformAccess Platform>
void FleetController<Platform>::Finish(const std::shared_ptr<PendingRequest>& aPending,
                                       Result<std::string> aResult)
{
  std::erase(m_requests, aPending);
  Log(LogCategory::Fleet,
      LogLevel::Info,
      "operator-request",
      "kind",
      ToName(aPending->m_request.m_kind),
      "operation",
      aPending->m_request.m_operationId,
      "vm",
      aPending->m_request.m_vm,
      "result",
      aResult ? std::string("accepted") : aResult.error().Text());
  aPending->m_done(std::move(aResult));
}

template<PlatformAccess Platform>
void FleetController<Platform>::AddRequest(OperatorRequest aRequest, Callback<std::string> aDone)
{
  auto pending = std::make_shared<PendingRequest>();
  pending->m_request = std::move(aRequest);
  pending->m_done = std::move(aDone);
  m_requests.push_back(std::move(pending));
}

template<PlatformAccess Platform>
void FleetController<Platform>::LogReasons()
{
  for (const auto& [vm, reason] : m_decider.Reasons()) {
    if (m_loggedReasons[vm] != reason) {
      Log(LogCategory::Fleet, LogLevel::Info, "wait", "vm", vm, "reason", reason);
    }
  }
  m_loggedReasons = m_decider.Reasons();
}

template<PlatformAccess Platform>
void FleetController<Platform>::Drain(const std::string& aVm,
                                      const std::string& aOperationId,
                                      Callback<std::string> aDone)
{
  AddRequest({ OperatorRequestKind::Drain, aOperationId, aVm, {} }, std::move(aDone));
}

template<PlatformAccess Platform>
void FleetController<Platform>::Release(const std::string& aVm, Callback<std::string> aDone)
{
  AddRequest({ OperatorRequestKind::Release, {}, aVm, {} }, std::move(aDone));
}

template<PlatformAccess Platform>
void FleetController<Platform>::Maintain(const Selector& aSelector,
                                         const std::string& aOperationId,
                                         Callback<std::string> aDone)
{
  AddRequest({ OperatorRequestKind::Maintain, aOperationId, {}, aSelector }, std::move(aDone));
}

template<PlatformAccess Platform>
void FleetController<Platform>::Pause(const std::string& aWave, Callback<std::string> aDone)
{
  AddRequest({ OperatorRequestKind::PauseWave, aWave, {}, {} }, std::move(aDone));
}

template<PlatformAccess Platform>
void FleetController<Platform>::Resume(const std::string& aWave, Callback<std::string> aDone)
{
  AddRequest({ OperatorRequestKind::ResumeWave, aWave, {}, {} }, std::move(aDone));
}

template<PlatformAccess Platform>
void FleetController<Platform>::Cancel(const std::string& aWave, Callback<std::string> aDone)
{
  AddRequest({ OperatorRequestKind::CancelWave, aWave, {}, {} }, std::move(aDone));
}

} // namespace mustardtray
