#include "standin/PlatformFaults.h"

#include "standin/StandinJson.h"

namespace mustardtray {

namespace {

constexpr Millis kMaxDelay{ 3'600'000 };
constexpr std::int64_t kMaxCount = 1'000'000'000;

void ReadNames(JsonReader& aReader, std::string_view aKey, std::set<std::string>& aNames)
{
  if (aReader.Has(aKey)) {
    const std::vector<std::string> names = aReader.Strings(aKey);
    aNames = { names.begin(), names.end() };
  }
}

} // namespace

PlatformFaults ReadFaults(JsonReader& aReader, const PlatformFaults& aCurrent)
{
  const auto delay = [&](std::string_view aKey, Millis aValue) {
    return aReader.Duration(aKey, aValue, Millis(0), kMaxDelay);
  };
  PlatformFaults faults = aCurrent;
  faults.m_outage = aReader.Enum("down", faults.m_outage);
  faults.m_callDelay = delay("slow_ms", faults.m_callDelay);
  faults.m_responsesToLose =
    aReader.Integer("lose_answers", faults.m_responsesToLose, 0, kMaxCount);
  faults.m_responseLossProbability =
    aReader.Number("lose_probability", faults.m_responseLossProbability, 0, 1);
  faults.m_seed = aReader.Integer("seed", faults.m_seed, 0, INT64_MAX);
  faults.m_listLag = delay("list_lag_ms", faults.m_listLag);
  faults.m_tableLag = delay("table_lag_ms", faults.m_tableLag);
  faults.m_usageLag = delay("usage_lag_ms", faults.m_usageLag);
  ReadNames(aReader, "cut_addresses", faults.m_blockedAddresses);
  ReadNames(aReader, "failing_reboots", faults.m_failingReboots);
  ReadNames(aReader, "failing_workers", faults.m_failingWorkers);
  return faults;
}

Result<PlatformFaults> ParseFaults(std::string_view aText, const PlatformFaults& aCurrent)
{
  return ParseDocument<PlatformFaults>(
    "faults", aText, [&](JsonReader& aReader) { return ReadFaults(aReader, aCurrent); });
}

Json ToJson(const PlatformFaults& aFaults)
{
  return { { "down", ToName(aFaults.m_outage) },
           { "slow_ms", aFaults.m_callDelay.count() },
           { "lose_answers", aFaults.m_responsesToLose },
           { "lose_probability", aFaults.m_responseLossProbability },
           { "seed", aFaults.m_seed },
           { "list_lag_ms", aFaults.m_listLag.count() },
           { "table_lag_ms", aFaults.m_tableLag.count() },
           { "usage_lag_ms", aFaults.m_usageLag.count() },
           { "cut_addresses", aFaults.m_blockedAddresses },
           { "failing_reboots", aFaults.m_failingReboots },
           { "failing_workers", aFaults.m_failingWorkers } };
}

void ResponseLoss::Configure(const PlatformFaults& aFaults)
{
  m_remaining = aFaults.m_responsesToLose;
  m_probability = aFaults.m_responseLossProbability;
  if (m_seed != aFaults.m_seed) {
    m_seed = aFaults.m_seed;
    m_random.seed(static_cast<std::uint64_t>(m_seed));
  }
}

bool ResponseLoss::ShouldLoseNext()
{
  if (m_remaining > 0) {
    --m_remaining;
    return true;
  }
  std::uniform_real_distribution<double> chance(0, 1);
  return m_probability > 0 && chance(m_random) < m_probability;
}

void LaggingRevision::SetLag(Millis aLag, std::uint64_t aRevision)
{
  if (m_lag == Millis(0)) {
    m_visibleRevision = aRevision;
  }
  m_lag = aLag;
  if (m_lag == Millis(0)) {
    m_hiddenCommits.clear();
  }
}

void LaggingRevision::OnCommit(TimePoint aNow, std::uint64_t aRevision)
{
  if (m_lag > Millis(0)) {
    m_hiddenCommits.push_back({ aNow, aRevision });
  }
}

std::uint64_t LaggingRevision::VisibleRevisionAt(TimePoint aNow)
{
  if (m_lag == Millis(0)) {
    return PlatformTable::kLatest;
  }
  while (!m_hiddenCommits.empty() && m_hiddenCommits.front().m_time + m_lag <= aNow) {
    m_visibleRevision = m_hiddenCommits.front().m_revision;
    m_hiddenCommits.pop_front();
  }
  return m_visibleRevision;
}

} // namespace mustardtray
