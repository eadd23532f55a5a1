#include "mustardtray/job/PoolState.h"

#include <random>

#include <doctest/doctest.h>

#include "tests/job/PoolFixture.h"

using namespace mustardtray;
using namespace mustardtray::job;

TEST_CASE("malformed names of work units are rejected")
{
  const auto id = UnitId::Parse("5c0e7a21d94b36f8.0.1.17");
  REQUIRE(id);
  CHECK(id->m_step == 1);
  CHECK(id->Text() == "5c0e7a21d94b36f8.0.1.17");
  for (const char* text :
       { "", "a", "a.1.2", "a.1.2.", "a.1.2.x", ".1.2.3", "a.1.2.3.4", "a.-1.2.3" }) {
    CAPTURE(text);
    CHECK_FALSE(UnitId::Parse(text));
  }
}

TEST_CASE("a job record is unchanged after encoding and decoding")
{
  JobRecord record = MakeJob("0123456789abcdef", 3);
  StepSpec& step = record.m_spec.m_steps[0];
  step.m_after = {};
  step.m_maxUnavailableUnits = 2;
  step.m_dataRack = "rack-7";
  step.m_isSpeculative = true;
  record.m_spec.m_repeatCount = 4;
  record.m_epoch = 6;
  const auto decoded = DecodeJobRecord(EncodeJobRecord(record));
  REQUIRE(decoded);
  CHECK(decoded.value().m_spec.m_steps[0].m_maxUnavailableUnits == 2);
  CHECK(decoded.value().m_spec.m_steps[0].m_dataRack == "rack-7");
  CHECK(decoded.value().m_spec.m_repeatCount == 4);
  CHECK(decoded.value().m_epoch == 6);
  CHECK(decoded.value().m_queuePolicy.m_maxAttempts == 3);
}

TEST_CASE("corrupted stored texts yield an error or a value, never an exception")
{
  std::mt19937 random(7);
  const std::string text = EncodeJobRecord(MakeJob("j", 2));
  for (int i = 0; i < 3'000; ++i) {
    std::string broken = text;
    broken[random() % broken.size()] = static_cast<char>(random());
    if (i % 3 == 0) {
      broken.resize(random() % broken.size());
    }
    const auto record = DecodeJobRecord(broken);
    Job job;
    job.m_record = MakeJob("j", 2);
    const auto progress = DecodeProgress(broken, job);
    CHECK((record || !record.error().m_message.empty()));
    CHECK((progress || !progress.error().m_message.empty()));
  }
}

TEST_CASE("the critical path follows the dependencies of the steps")
{
  JobSpec spec;
  for (const int ms : { 100, 300, 50 }) {
    StepSpec step;
    step.m_estimate = Millis(ms);
    spec.m_steps.push_back(step);
  }
  spec.m_steps[2].m_after = { 0, 1 };
  CHECK(CriticalPath(LongestPathsFrom(spec)) == Millis(350));
  CHECK(LongestPathsFrom(spec)[0] == Millis(150));
}
