#include "bench/VirtualPlatform.h"

namespace mustardtray {

namespace {

constexpr Millis kAnswerTimeout{ 2'000 };

Error AccessError(ErrorKind aKind)
{
  return Error{ aKind, "ask platform", "platform", "no answer" };
}

} // namespace

template<typename T, typename Call>
void VirtualPlatform::Ask(Millis aHold, bool aIsAnswerLost, Call aCall, Callback<T> aDone)
{
  if (m_hasEnded) {
    return;
  }
  VirtualTime& time = m_fleet.Time();
  const Millis back = Latency();
  time.After(Latency() + aHold, [this, back, aIsAnswerLost, aCall, aDone] {
    if (m_fleet.IsStoreDown() || m_faults.m_isCutOff) {
      m_fleet.Time().After(back, [aDone] { aDone(AccessError(ErrorKind::Unavailable)); });
      return;
    }
    const auto result = std::make_shared<const T>(aCall());
    if (aIsAnswerLost) {
      m_fleet.Time().After(kAnswerTimeout, [aDone] { aDone(AccessError(ErrorKind::Unknown)); });
    } else {
      m_fleet.Time().After(back, [aDone, result] { aDone(*result); });
    }
  });
}

template<typename T, typename Call>
void VirtualPlatform::Write(Call aCall, Callback<T> aDone)
{
  ++m_writes;
  if (m_writes == m_faults.m_endBeforeWrite) {
    m_hasEnded = true;
  }
  std::uniform_real_distribution<double> share(0, 1);
  const bool isLost =
    m_writes == m_faults.m_loseAnswerOfWrite ||
    (m_faults.m_lostAnswers > 0 && share(m_fleet.Random()) < m_faults.m_lostAnswers);
  const Millis hold = m_writes == m_faults.m_holdWrite ? m_faults.m_holdTime : Millis{ 0 };
  Ask<T>(hold, isLost, std::move(aCall), std::move(aDone));
}

Millis VirtualPlatform::Latency()
{
  std::uniform_int_distribution<std::int64_t> latency(1, m_faults.m_latencyMost.count());
  return Millis(latency(m_fleet.Random()));
}

void VirtualPlatform::Transact(const Transaction& aTransaction, Callback<Commit> aDone)
{
  Write<Commit>([this, aTransaction] { return m_fleet.Transact(aTransaction); }, std::move(aDone));
}

void VirtualPlatform::Read(const std::vector<std::string>& aKeys, Callback<std::vector<Row>> aDone)
{
  Ask<std::vector<Row>>(
    Millis{ 0 }, false, [this, aKeys] { return m_fleet.Table().Read(aKeys); }, std::move(aDone));
}

void VirtualPlatform::Scan(const std::string& aPrefix,
                           std::uint64_t aRevision,
                           Callback<ScanPage> aDone)
{
  Ask<ScanPage>(
    Millis{ 0 },
    false,
    [this, aPrefix, aRevision] { return m_fleet.Table().Scan(aPrefix, aRevision); },
    std::move(aDone));
}

void VirtualPlatform::ListVms(Callback<std::vector<VmListing>> aDone)
{
  Ask<std::vector<VmListing>>(
    Millis{ 0 }, false, [this] { return m_fleet.ListVms(); }, std::move(aDone));
}

void VirtualPlatform::RunVmAction(const VmActionRequest& aRequest, Callback<ActionState> aDone)
{
  Write<ActionState>([this, aRequest] { return m_fleet.RunVmAction(aRequest); }, std::move(aDone));
}

} // namespace mustardtray
