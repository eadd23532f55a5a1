#include "standin/WorkLedger.h"

#include <xxhash.h>

namespace mustardtray {

namespace {

std::uint64_t HashOf(std::string_view aWorkId)
{
  return XXH3_64bits(aWorkId.data(), aWorkId.size());
}

} // namespace

void WorkLedger::Record(std::string_view aWorkId, std::string_view aService, bool aIdempotent)
{
  ++m_runs;
  auto service = m_runsByService.find(aService);
  if (service == m_runsByService.end()) {
    service = m_runsByService.emplace(aService, 0).first;
  }
  ++service->second;
  if (aWorkId.empty()) {
    return;
  }
  const std::uint32_t runs = ++m_runsByWork[HashOf(aWorkId)];
  if (runs < 2) {
    return;
  }
  if (runs == 2) {
    ++(aIdempotent ? m_repeatedIdempotent : m_doubleRuns);
  }
  const auto known = m_repeated.find(aWorkId);
  if (known != m_repeated.end()) {
    known->second.m_runs = runs;
  } else if (m_repeated.size() < kMaxRepeated) {
    const std::string id(aWorkId);
    m_repeated.emplace(id, RepeatedWork{ id, runs, aIdempotent });
  }
}

std::uint32_t WorkLedger::RunsOf(std::string_view aWorkId) const
{
  const auto found = m_runsByWork.find(HashOf(aWorkId));
  return found == m_runsByWork.end() ? 0 : found->second;
}

std::vector<RepeatedWork> WorkLedger::Repeated() const
{
  std::vector<RepeatedWork> repeated;
  for (const auto& [id, work] : m_repeated) {
    repeated.push_back(work);
  }
  return repeated;
}

Json ToJson(const WorkLedger& aLedger)
{
  Json repeated = Json::array();
  for (const RepeatedWork& work : aLedger.Repeated()) {
    repeated.push_back({ { "work_id", work.m_workId },
                         { "runs", work.m_runs },
                         { "idempotent", work.m_idempotent } });
  }
  return { { "runs", aLedger.Runs() },
           { "runs_by_service", aLedger.RunsByService() },
           { "distinct_work", aLedger.DistinctWork() },
           { "double_runs", aLedger.DoubleRuns() },
           { "repeated_idempotent", aLedger.RepeatedIdempotent() },
           { "repeated", std::move(repeated) } };
}

} // namespace mustardtray
