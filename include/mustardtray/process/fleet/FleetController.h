#pragma once

/// Runs the control loop of the fleet: reads the rows, submits the steps that are due and answers
/// operators' requests. Every entry VM runs one controller. All I/O goes through the platform, and
/// the caller passes in the time.

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
#include "mustardtray/process/fleet/FleetReconciler.h"

namespace mustardtray {

/// All calls and all callbacks of the platform must run on the control thread.
template<PlatformAccess Platform>
class FleetController
{
public:
  FleetController(Platform& aPlatform, std::string aNode, FleetPolicy aPolicy)
    : m_platform(aPlatform)
    , m_node(aNode)
    , m_reconciler(std::move(aNode), aPolicy)
    , m_aliveToken(std::make_shared<bool>(true))
  {
  }
  FleetController(const FleetController&) = delete;
  FleetController& operator=(const FleetController&) = delete;

  void SetConfiguration(std::shared_ptr<const Configuration> aConfiguration)
  {
    m_reconciler.SetConfiguration(std::move(aConfiguration));
  }
  /// Receives each VM list that was read, with a time no later than that of the query.
  using VmListListener = std::function<void(const std::vector<VmListing>&, TimePoint)>;
  void SetVmListListener(VmListListener aListener) { m_vmListListener = std::move(aListener); }
  /// Adds the load of each pool since the last call, as measured by all entry VMs.
  void AddLoads(const std::vector<PoolLoad>& aLoads, TimePoint aNow)
  {
    m_reconciler.ApplyLoads(aLoads, aNow);
  }

  /// Starts a planning round; to be called about once a second. A round that still waits for the
  /// platform is abandoned after kRoundTimeout, and its late answers are ignored.
  void Tick(TimePoint aNow, WallTime aWallNow);

  /// Operators' requests are carried out in the next rounds. Repeating a request with the same
  /// operation id has no effect. The callback gets the operation id or an error: Refused with the
  /// reason, NotFound, or Unknown when no attempt was confirmed within kMaxAttempts rounds.
  void Drain(const std::string& aVm, const std::string& aOperationId, Callback<std::string> aDone);
  void Release(const std::string& aVm, Callback<std::string> aDone);
  void Maintain(const Selector& aSelector,
                const std::string& aOperationId,
                Callback<std::string> aDone);
  void Pause(const std::string& aWave, Callback<std::string> aDone);
  void Resume(const std::string& aWave, Callback<std::string> aDone);
  void Cancel(const std::string& aWave, Callback<std::string> aDone);

  std::vector<std::string> Explain(const std::string& aVm) const
  {
    return m_reconciler.Explain(aVm);
  }
  std::optional<WaveProgress> Progress(const std::string& aWave) const
  {
    return m_reconciler.ProgressOf(aWave);
  }
  const FleetView& View() const { return m_reconciler.View(); }

private:
  static constexpr Millis kRoundTimeout{ 5'000 };
  static constexpr Millis kVmListPeriod{ 5'000 }; ///< Shorter than the lag of the VM list.
  static constexpr int kMaxAttempts = 20;

  struct PendingRequest
  {
    OperatorRequest m_request;
    Callback<std::string> m_done;
    int m_attempts = 0;
    bool m_isInFlight = false;
  };

  /// Wraps a callback so that it does nothing after the controller has been destroyed.
  template<typename T, typename Handler>
  Callback<T> IfAlive(Handler aHandler)
  {
    return [alive = std::weak_ptr<bool>(m_aliveToken), aHandler](Result<T> aResult) {
      if (alive.lock()) {
        aHandler(std::move(aResult));
      }
    };
  }
  /// Wraps a callback so that it does nothing after its round has ended.
  template<typename T, typename Handler>
  Callback<T> IfSameRound(Handler aHandler)
  {
    return IfAlive<T>([this, round = m_round, aHandler](Result<T> aResult) {
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
  void FinishRequest(const std::shared_ptr<PendingRequest>& aPending, Result<std::string> aResult);
  void AddRequest(OperatorRequest aRequest, Callback<std::string> aDone);
  void LogWaitReasons();

  Platform& m_platform;
  std::string m_node;
  FleetReconciler m_reconciler;
  std::shared_ptr<bool> m_aliveToken;
  std::array<std::uint64_t, kScanOrder.size()> m_revisions{};
  std::vector<std::shared_ptr<PendingRequest>> m_requests;
  std::map<std::string, std::string> m_loggedWaitReasons;
  std::uint64_t m_round = 0;
  bool m_isBusy = false;
  TimePoint m_roundStart{};
  VmListListener m_vmListListener;
  std::optional<TimePoint> m_vmListReadAt; ///< Start of the last round that read the VM list.
  WallTime m_roundWallStart{};
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
  m_roundWallStart = aWallNow;
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
    IfSameRound<ScanPage>([this, aIndex](Result<ScanPage> aPage) {
      if (!aPage) {
        Log(LogCategory::Fleet, LogLevel::Warning, "scan-failed", "error", aPage.error().Text());
        m_isBusy = false;
        return;
      }
      m_revisions[aIndex] = aPage.value().m_revision;
      m_reconciler.ApplyRows(aPage.value(), m_roundStart);
      Scan(aIndex + 1);
    }));
}

template<PlatformAccess Platform>
void FleetController<Platform>::ListVms()
{
  if (m_vmListReadAt && m_roundStart - *m_vmListReadAt < kVmListPeriod) {
    Submit();
    m_isBusy = false;
    return;
  }
  m_platform.ListVms(
    IfSameRound<std::vector<VmListing>>([this](Result<std::vector<VmListing>> aList) {
      if (aList) {
        m_reconciler.ApplyVmList(aList.value(), m_roundStart);
        if (m_vmListListener) {
          m_vmListListener(aList.value(), m_roundStart);
        }
        m_vmListReadAt = m_roundStart;
      } else {
        Log(LogCategory::Fleet, LogLevel::Warning, "vm-list-failed", "error", aList.error().Text());
      }
      Submit();
      m_isBusy = false;
    }));
}

template<PlatformAccess Platform>
void FleetController<Platform>::Submit()
{
  const std::vector<FleetStep> steps = m_reconciler.PlanSteps(m_roundStart, m_roundWallStart);
  LogWaitReasons();
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
  // Only a renewed lease is recorded; the next round reads the outcome of other writes from the
  // rows.
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
        m_reconciler.ApplyLeaseCommit(scope, sentAt);
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
  m_platform.Transact(*aStep.m_transaction, IfAlive<Commit>(onAnswer));
}

template<PlatformAccess Platform>
void FleetController<Platform>::SubmitAction(const VmActionRequest& aRequest)
{
  const auto onAnswer = [this, id = aRequest.m_operationId](Result<ActionState> aState) {
    if (aState) {
      m_reconciler.ApplyActionState(id, aState.value());
    } else {
      Log(LogCategory::Fleet,
          LogLevel::Warning,
          "vm-action-failed",
          "operation",
          id,
          "error",
          aState.error().Text());
    }
  };
  m_platform.RunVmAction(aRequest, IfAlive<ActionState>(onAnswer));
}

template<PlatformAccess Platform>
void FleetController<Platform>::SubmitRequests()
{
  const auto requests = m_requests;
  for (const auto& pending : requests) {
    if (!pending->m_isInFlight) {
      SubmitRequest(pending);
    }
  }
}

template<PlatformAccess Platform>
void FleetController<Platform>::SubmitRequest(const std::shared_ptr<PendingRequest>& aPending)
{
  auto transaction = m_reconciler.PlanRequest(aPending->m_request);
  if (!transaction) {
    FinishRequest(aPending, transaction.error());
    return;
  }
  if (transaction.value().m_writes.empty()) {
    FinishRequest(aPending, aPending->m_request.m_operationId);
    return;
  }
  aPending->m_isInFlight = true;
  ++aPending->m_attempts;
  m_platform.Transact(transaction.value(),
                      IfAlive<Commit>([this, aPending](Result<Commit> aResult) {
                        OnRequestAnswer(aPending, aResult);
                      }));
}

template<PlatformAccess Platform>
void FleetController<Platform>::OnRequestAnswer(const std::shared_ptr<PendingRequest>& aPending,
                                                const Result<Commit>& aResult)
{
  aPending->m_isInFlight = false;
  if (aResult && aResult.value().m_isCommitted) {
    FinishRequest(aPending, aPending->m_request.m_operationId);
  } else if (aPending->m_attempts >= kMaxAttempts) {
    const std::string step = std::string(ToName(aPending->m_request.m_kind));
    FinishRequest(
      aPending,
      Error{
        ErrorKind::Unknown, step, "table", "the write was not confirmed; repeat the request" });
  }
}

template<PlatformAccess Platform>
void FleetController<Platform>::FinishRequest(const std::shared_ptr<PendingRequest>& aPending,
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
void FleetController<Platform>::LogWaitReasons()
{
  for (const auto& [vm, reason] : m_reconciler.WaitReasons()) {
    if (m_loggedWaitReasons[vm] != reason) {
      Log(LogCategory::Fleet, LogLevel::Info, "wait", "vm", vm, "reason", reason);
    }
  }
  m_loggedWaitReasons = m_reconciler.WaitReasons();
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
