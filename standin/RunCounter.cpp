#include "standin/RunCounter.h"

#include <xxhash.h>

namespace mustardtray {

namespace {

std::uint64_t HashOf(std::string_view aWorkId)
{
  return XXH3_64bits(aWorkId.data(), aWorkId.size());
}

} // namespace

void RunCounter::RecordRun(std::string_view aWorkId, std::string_view aService, bool aIsIdempotent)
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
    ++(aIsIdempotent ? m_repeatedIdempotent : m_doubleRuns);
  }
  const auto known = m_repeated.find(aWorkId);
  if (known != m_repeated.end()) {
    known->second.m_runs = runs;
  } else if (m_repeated.size() < kMaxRepeated) {
    const std::string id(aWorkId);
    m_repeated.emplace(id, RepeatedWork{ id, runs, aIsIdempotent });
  }
}

std::uint32_t RunCounter::RunsOf(std::string_view aWorkId) const
{
  const auto found = m_runsByWork.find(HashOf(aWorkId));
  return found == m_runsByWork.end() ? 0 : found->second;
}

std::vector<RepeatedWork> RunCounter::Repeated() const
{
  std::vector<RepeatedWork> repeated;
  for (const auto& [id, work] : m_repeated) {
    repeated.push_back(work);
  }
  return repeated;
}

Json ToJson(const RunCounter& aRunCounter)
{
  Json repeated = Json::array();
  for (const RepeatedWork& work : aRunCounter.Repeated()) {
    repeated.push_back({ { "work_id", work.m_workId },
                         { "runs", work.m_runs },
                         { "idempotent", work.m_isIdempotent } });
  }
  return { { "runs", aRunCounter.Runs() },
           { "runs_by_service", aRunCounter.RunsByService() },
           { "distinct_work", aRunCounter.DistinctWork() },
           { "double_runs", aRunCounter.DoubleRuns() },
           { "repeated_idempotent", aRunCounter.RepeatedIdempotent() },
           { "repeated", std::move(repeated) } };
}

} // namespace mustardtray
