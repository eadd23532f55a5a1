#include "mustardtray/job/PoolState.h"

#include <doctest/doctest.h>

#include "tests/job/PoolFixture.h"

using namespace mustardtray;
using namespace mustardtray::job;

TEST_CASE("a deeply nested state of a job does not end the process")
{
  constexpr std::size_t kLevels = 500'000;
  CHECK_FALSE(DecodeProgressState(R"({"state":)" + std::string(kLevels, '[') +
                                  std::string(kLevels, ']') + "}"));
  CHECK_FALSE(DecodeProgressState("[]"));
  CHECK(DecodeProgressState(R"({"state":"running"})").value() == JobState::Running);
}

TEST_CASE("progress that would be too long keeps all that is done and some of the checkpoints")
{
  constexpr std::uint32_t kUnits = 1'000;
  const std::string checkpoint = "00000bb87a21d94b";
  Job job;
  job.m_record = MakeJob("j", kUnits);
  job.m_state = JobState::Running;
  Occurrence& occurrence =
    job.m_occurrences.emplace(0, MakeOccurrence(job.m_record.m_spec, {})).first->second;
  for (Unit& unit : occurrence.m_steps[0].m_units) {
    unit.m_checkpoint = checkpoint;
  }
  occurrence.m_steps[0].m_units.back().m_isDone = true;
  const std::size_t fullBytes = EncodeProgress(job).size();
  const std::string text = EncodeProgress(job, fullBytes / 2);
  CHECK(text.size() <= fullBytes / 2);
  CHECK(text.size() > fullBytes / 3);
  Job loaded;
  loaded.m_record = job.m_record;
  REQUIRE(DecodeProgress(text, loaded));
  const std::vector<Unit>& units = loaded.m_occurrences.at(0).m_steps[0].m_units;
  CHECK(units.back().m_isDone);
  CHECK(units.front().m_checkpoint == checkpoint);
}
