#include "mustardtray/job/Job.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace mustardtray::job {

using nlohmann::json;

namespace {

json EncodeStep(const StepSpec& aStep)
{
  json out{ { "count", aStep.m_count },
            { "cpu", aStep.m_need.m_cpu },
            { "mem", aStep.m_need.m_memoryMb },
            { "est", aStep.m_estimate.count() } };
  const auto flag = [&](const char* aName, bool aValue) {
    if (aValue) {
      out[aName] = true;
    }
  };
  const auto text = [&](const char* aName, const std::string& aValue) {
    if (!aValue.empty()) {
      out[aName] = aValue;
    }
  };
  if (aStep.m_need.m_gpu > 0) {
    out["gpu"] = aStep.m_need.m_gpu;
  }
  if (!aStep.m_after.empty()) {
    out["after"] = aStep.m_after;
  }
  flag("ckpt", aStep.m_isCheckpointing);
  flag("gang", aStep.m_isGang);
  flag("rack1", aStep.m_prefersSameRack);
  flag("spec", aStep.m_isSpeculative);
  flag("lasting", aStep.m_isLongRunning);
  flag("filler", aStep.m_isBestEffort);
  text("label", aStep.m_requiredLabel);
  text("rack", aStep.m_dataRack);
  text("img", aStep.m_image);
  if (aStep.m_maxPerMinion > 0) {
    out["spread"] = aStep.m_maxPerMinion;
  }
  if (aStep.m_tailLatencyTarget.count() > 0) {
    out["tail"] = aStep.m_tailLatencyTarget.count();
  }
  if (aStep.m_maxUnavailableUnits) {
    out["miss"] = *aStep.m_maxUnavailableUnits;
  }
  return out;
}

StepSpec DecodeStep(const json& aIn)
{
  StepSpec step;
  step.m_count = aIn.at("count").get<std::uint32_t>();
  step.m_need.m_cpu = aIn.at("cpu").get<std::int64_t>();
  step.m_need.m_memoryMb = aIn.at("mem").get<std::int64_t>();
  step.m_need.m_gpu = aIn.value("gpu", std::int64_t{ 0 });
  step.m_estimate = Millis(aIn.at("est").get<Millis::rep>());
  if (const auto after = aIn.find("after"); after != aIn.end()) {
    step.m_after = after->get<std::vector<std::uint32_t>>();
  }
  step.m_isCheckpointing = aIn.value("ckpt", false);
  step.m_isGang = aIn.value("gang", false);
  step.m_prefersSameRack = aIn.value("rack1", false);
  step.m_isSpeculative = aIn.value("spec", false);
  step.m_isLongRunning = aIn.value("lasting", false);
  step.m_isBestEffort = aIn.value("filler", false);
  step.m_requiredLabel = aIn.value("label", std::string{});
  step.m_dataRack = aIn.value("rack", std::string{});
  step.m_image = aIn.value("img", std::string{});
  step.m_maxPerMinion = aIn.value("spread", std::uint32_t{ 0 });
  step.m_tailLatencyTarget = Millis(aIn.value("tail", Millis::rep{ 0 }));
  if (const auto miss = aIn.find("miss"); miss != aIn.end()) {
    step.m_maxUnavailableUnits = miss->get<std::uint32_t>();
  }
  return step;
}

/// Parses a number up to the next dot, or up to the end when aIsLast, and removes it from aText.
bool TakeNumber(std::string_view& aText, std::uint32_t& aValue, bool aIsLast)
{
  const std::size_t dot = aIsLast ? aText.size() : aText.find('.');
  if (dot == std::string_view::npos || dot == 0) {
    return false;
  }
  const auto result = std::from_chars(aText.data(), aText.data() + dot, aValue);
  if (result.ec != std::errc{} || result.ptr != aText.data() + dot) {
    return false;
  }
  aText = aIsLast ? std::string_view{} : aText.substr(dot + 1);
  return true;
}

} // namespace

bool JobSpec::IsLongRunning() const
{
  return std::any_of(
    m_steps.begin(), m_steps.end(), [](const StepSpec& aStep) { return aStep.m_isLongRunning; });
}

std::string UnitId::Text() const
{
  return fmt::format("{}.{}.{}.{}", m_job, m_occurrence, m_step, m_index);
}

std::optional<UnitId> UnitId::Parse(std::string_view aText)
{
  const std::size_t dot = aText.find('.');
  if (dot == std::string_view::npos || dot == 0) {
    return std::nullopt;
  }
  UnitId id;
  id.m_job = std::string(aText.substr(0, dot));
  aText = aText.substr(dot + 1);
  if (!TakeNumber(aText, id.m_occurrence, false) || !TakeNumber(aText, id.m_step, false) ||
      !TakeNumber(aText, id.m_index, true)) {
    return std::nullopt;
  }
  return id;
}

std::string EncodeJobRecord(const JobRecord& aRecord)
{
  json steps = json::array();
  for (const StepSpec& step : aRecord.m_spec.m_steps) {
    steps.push_back(EncodeStep(step));
  }
  json out{ { "id", aRecord.m_id },
            { "queue", aRecord.m_queuePolicy.m_queue },
            { "prio", aRecord.m_queuePolicy.m_priority },
            { "attempts", aRecord.m_queuePolicy.m_maxAttempts },
            { "stretch", aRecord.m_queuePolicy.m_stretch },
            { "extra", aRecord.m_queuePolicy.m_extraTime.count() },
            { "at", aRecord.m_acceptedAt.time_since_epoch().count() },
            { "epoch", aRecord.m_epoch },
            { "payload", aRecord.m_spec.m_payload },
            { "steps", std::move(steps) } };
  if (!aRecord.m_account.empty()) {
    out["account"] = aRecord.m_account;
  }
  if (aRecord.m_queuePolicy.m_needsAdvice) {
    out["advice"] = true;
  }
  if (!aRecord.m_pool.empty()) {
    out["pool"] = aRecord.m_pool;
  }
  if (aRecord.m_moves > 0) {
    out["moves"] = aRecord.m_moves;
    out["former-epochs"] = aRecord.m_formerEpochs;
    out["progress"] = aRecord.m_progress;
  }
  if (aRecord.m_spec.m_repeatCount > 0) {
    out["repeat"] = aRecord.m_spec.m_repeatCount;
    out["start"] = aRecord.m_spec.m_startAt.time_since_epoch().count();
    out["every"] = aRecord.m_spec.m_interval.count();
  }
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<JobRecord> DecodeJobRecord(std::string_view aText)
{
  try {
    const json in = json::parse(aText);
    JobRecord record;
    record.m_id = in.at("id").get<std::string>();
    record.m_account = in.value("account", std::string{});
    record.m_queuePolicy.m_queue = in.at("queue").get<std::string>();
    record.m_queuePolicy.m_priority = in.at("prio").get<int>();
    record.m_queuePolicy.m_maxAttempts = in.at("attempts").get<std::uint32_t>();
    record.m_queuePolicy.m_stretch = in.at("stretch").get<double>();
    record.m_queuePolicy.m_extraTime = Millis(in.at("extra").get<Millis::rep>());
    record.m_queuePolicy.m_needsAdvice = in.value("advice", false);
    record.m_acceptedAt = WallTime(Millis(in.at("at").get<Millis::rep>()));
    record.m_epoch = in.at("epoch").get<std::uint32_t>();
    record.m_pool = in.value("pool", std::string{});
    record.m_moves = in.value("moves", std::uint32_t{ 0 });
    record.m_formerEpochs = in.value("former-epochs", std::uint32_t{ 0 });
    record.m_progress = in.value("progress", std::string{});
    record.m_spec.m_payload = in.at("payload").get<std::string>();
    record.m_spec.m_repeatCount = in.value("repeat", std::uint32_t{ 0 });
    record.m_spec.m_startAt = WallTime(Millis(in.value("start", Millis::rep{ 0 })));
    record.m_spec.m_interval = Millis(in.value("every", Millis::rep{ 0 }));
    for (const json& step : in.at("steps")) {
      record.m_spec.m_steps.push_back(DecodeStep(step));
    }
    return record;
  } catch (const json::exception& fault) {
    return Error{ ErrorKind::Invalid, "decode job record", "", fault.what() };
  }
}

} // namespace mustardtray::job
