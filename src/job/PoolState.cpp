#include "mustardtray/job/PoolState.h"

#include <algorithm>

#include <boost/outcome/success_failure.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace mustardtray::job {

using nlohmann::json;

namespace {

constexpr char kWaitingMark = '.';
constexpr char kDoneMark = 'd';
/// Larger counts are stored as this digit and by unit.
constexpr std::uint32_t kMaxFailuresDigit = 9;

std::string Dump(const json& aValue)
{
  return aValue.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Removes checkpoints until the encoded text is shorter by aBytes.
void DropCheckpoints(json& aCheckpoints, std::size_t aBytes)
{
  std::size_t dropped = 0;
  while (dropped < aBytes && !aCheckpoints.empty()) {
    const auto last = std::prev(aCheckpoints.end());
    dropped += last.key().size() + last.value().get_ref<const std::string&>().size();
    aCheckpoints.erase(last);
  }
}

/// Writes one character for each unit: done, waiting, or the number of failures so far, up to nine.
std::string EncodeUnits(const StepState& aStep)
{
  std::string text;
  text.reserve(aStep.m_units.size());
  for (const Unit& unit : aStep.m_units) {
    if (unit.m_isDone) {
      text.push_back(kDoneMark);
    } else if (unit.m_failures == 0) {
      text.push_back(kWaitingMark);
    } else {
      text.push_back(static_cast<char>('0' + std::min(unit.m_failures, kMaxFailuresDigit)));
    }
  }
  return text;
}

void DecodeUnits(const std::string& aText, StepState& aStep)
{
  aStep.m_doneCount = 0;
  for (std::size_t i = 0; i < aStep.m_units.size() && i < aText.size(); ++i) {
    Unit& unit = aStep.m_units[i];
    if (aText[i] == kDoneMark) {
      unit.m_isDone = true;
      ++aStep.m_doneCount;
    } else if (aText[i] >= '0' && aText[i] <= '9') {
      unit.m_failures = static_cast<std::uint32_t>(aText[i] - '0');
    }
  }
}

} // namespace

Run MakeRun(const UnitId& aUnit, std::uint32_t aRun, const StepSpec* aStep, TimePoint aNow)
{
  Run run;
  run.m_unit = aUnit;
  run.m_run = aRun;
  run.m_orderedAt = aNow;
  if (aStep) {
    run.m_reserved = aStep->Reserved();
    run.m_isLongRunning = aStep->m_isLongRunning;
    run.m_isBestEffort = aStep->m_isBestEffort;
    run.m_isGang = aStep->m_isGang;
    run.m_tailLatencyTarget = aStep->m_tailLatencyTarget;
  } else {
    run.m_isSizeUnknown = true;
  }
  return run;
}

std::string EncodeProgress(const Job& aJob, std::size_t aMaxBytes)
{
  json out{ { "state", ToName(aJob.m_state) } };
  if (aJob.HasEnded()) {
    return out.dump();
  }
  json occurrences = json::object();
  json checkpoints = json::object();
  json failedRuns = json::object();
  json manyFailures = json::object();
  json crashes = json::object();
  for (const auto& [number, occurrence] : aJob.m_occurrences) {
    json steps = json::array();
    for (std::size_t s = 0; s < occurrence.m_steps.size(); ++s) {
      const StepState& step = occurrence.m_steps[s];
      steps.push_back(EncodeUnits(step));
      for (std::size_t i = 0; i < step.m_units.size(); ++i) {
        if (!step.m_units[i].m_isDone && !step.m_units[i].m_checkpoint.empty()) {
          checkpoints[fmt::format("{}.{}.{}", number, s, i)] = step.m_units[i].m_checkpoint;
        }
        if (!step.m_units[i].m_isDone && step.m_units[i].m_lastFailedRun > 0) {
          failedRuns[fmt::format("{}.{}.{}", number, s, i)] = step.m_units[i].m_lastFailedRun;
        }
        if (!step.m_units[i].m_isDone && step.m_units[i].m_failures > kMaxFailuresDigit) {
          manyFailures[fmt::format("{}.{}.{}", number, s, i)] = step.m_units[i].m_failures;
        }
        const CrashCounts& counts = step.m_units[i].m_crashes;
        if (!step.m_units[i].m_isDone && counts.m_all > 0) {
          crashes[fmt::format("{}.{}.{}", number, s, i)] = {
            counts.m_all, counts.m_explained, counts.m_alone, counts.m_evidence
          };
        }
      }
    }
    occurrences[std::to_string(number)] = std::move(steps);
  }
  out["next"] = aJob.m_nextOccurrence;
  out["units"] = std::move(occurrences);
  if (!checkpoints.empty()) {
    out["ckpt"] = std::move(checkpoints);
  }
  if (!failedRuns.empty()) {
    out["failed"] = std::move(failedRuns);
  }
  if (!manyFailures.empty()) {
    out["failures"] = std::move(manyFailures);
  }
  if (!crashes.empty()) {
    out["crashed"] = std::move(crashes);
  }
  std::string text = Dump(out);
  if (text.size() > aMaxBytes && out.contains("ckpt")) {
    DropCheckpoints(out["ckpt"], text.size() - aMaxBytes);
    text = Dump(out);
  }
  return text;
}

Result<JobState> DecodeProgressState(std::string_view aText)
{
  if (aText.empty()) {
    return JobState::Queued;
  }
  const json in = json::parse(aText, nullptr, false);
  // Not copied: the copy of a deeply nested value recurses.
  const auto state = in.find("state");
  const auto known = state != in.end() && state->is_string()
                       ? FromName<JobState>(state->get<std::string>())
                       : std::nullopt;
  if (!known) {
    return Error{ ErrorKind::Invalid, "decode job progress", "", "state is missing or unknown" };
  }
  return *known;
}

Result<void> DecodeProgress(std::string_view aText, Job& aJob)
{
  auto state = DecodeProgressState(aText);
  if (!state) {
    return state.error();
  }
  aJob.m_state = state.value();
  if (aText.empty() || aJob.HasEnded()) {
    return boost::outcome_v2::success();
  }
  try {
    const json in = json::parse(aText);
    aJob.m_nextOccurrence = in.at("next").get<std::uint32_t>();
    aJob.m_occurrences.clear();
    for (const auto& [number, steps] : in.at("units").items()) {
      Occurrence occurrence = MakeOccurrence(aJob.m_record.m_spec, aJob.m_arrivedAt);
      for (std::size_t s = 0; s < occurrence.m_steps.size() && s < steps.size(); ++s) {
        DecodeUnits(steps[s].get<std::string>(), occurrence.m_steps[s]);
      }
      aJob.m_occurrences.emplace(static_cast<std::uint32_t>(std::stoul(number)),
                                 std::move(occurrence));
    }
    const auto forEachUnit = [&](const char* aName, const auto& aSet) {
      const auto entries = in.find(aName);
      if (entries == in.end()) {
        return;
      }
      for (const auto& [place, value] : entries->items()) {
        const auto id = UnitId::Parse("x." + place);
        if (id && aJob.m_occurrences.contains(id->m_occurrence)) {
          auto& steps = aJob.m_occurrences.at(id->m_occurrence).m_steps;
          aSet(steps.at(id->m_step).m_units.at(id->m_index), value);
        }
      }
    };
    forEachUnit("ckpt", [](Unit& aUnit, const json& aValue) {
      aUnit.m_checkpoint = aValue.get<std::string>();
    });
    forEachUnit("failed", [](Unit& aUnit, const json& aValue) {
      aUnit.m_lastFailedRun = aValue.get<std::uint32_t>();
      aUnit.m_lastRun = aUnit.m_lastFailedRun;
    });
    forEachUnit("failures", [](Unit& aUnit, const json& aValue) {
      aUnit.m_failures = aValue.get<std::uint32_t>();
    });
    forEachUnit("crashed", [&](Unit& aUnit, const json& aValue) {
      aUnit.m_crashes = { aValue.at(0).get<std::uint32_t>(),
                          aValue.at(1).get<std::uint32_t>(),
                          aValue.at(2).get<std::uint32_t>(),
                          aValue.size() > 3 ? aValue.at(3).get<int>() : 0 };
      aJob.m_hasCrashes = true;
    });
    aJob.m_hasStarted = aJob.m_state == JobState::Running;
  } catch (const std::exception& fault) {
    return Error{ ErrorKind::Invalid, "decode job progress", aJob.m_record.m_id, fault.what() };
  }
  return boost::outcome_v2::success();
}

bool ArePredecessorsDone(const StepSpec& aSpec, const Occurrence& aOccurrence)
{
  return std::all_of(aSpec.m_after.begin(), aSpec.m_after.end(), [&](std::uint32_t aEarlier) {
    return aOccurrence.m_steps[aEarlier].IsDone();
  });
}

Occurrence MakeOccurrence(const JobSpec& aSpec, TimePoint aDueAt)
{
  Occurrence occurrence;
  occurrence.m_dueAt = aDueAt;
  occurrence.m_steps.resize(aSpec.m_steps.size());
  for (std::size_t s = 0; s < aSpec.m_steps.size(); ++s) {
    occurrence.m_steps[s].m_units.resize(aSpec.m_steps[s].m_count);
  }
  return occurrence;
}

std::vector<Millis> LongestPathsFrom(const JobSpec& aSpec)
{
  std::vector<Millis> paths(aSpec.m_steps.size(), Millis{ 0 });
  // Steps depend only on earlier ones, so iterating backwards visits dependent steps first.
  for (std::size_t s = aSpec.m_steps.size(); s-- > 0;) {
    paths[s] += aSpec.m_steps[s].m_estimate;
    for (const std::uint32_t predecessor : aSpec.m_steps[s].m_after) {
      paths[predecessor] = std::max(paths[predecessor], paths[s]);
    }
  }
  return paths;
}

Millis CriticalPath(const std::vector<Millis>& aLongestPathsFrom)
{
  return aLongestPathsFrom.empty()
           ? Millis{ 0 }
           : *std::max_element(aLongestPathsFrom.begin(), aLongestPathsFrom.end());
}

double EstimatedWork(const JobSpec& aSpec)
{
  double work = 0;
  for (const StepSpec& step : aSpec.m_steps) {
    work += static_cast<double>(step.m_count) * static_cast<double>(step.m_need.m_cpu) / 1'000.0 *
            static_cast<double>(step.m_estimate.count());
  }
  return work;
}

} // namespace mustardtray::job
