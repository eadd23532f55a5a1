#include "request/ForwardEnvelope.h"

#include "mustardtray/process/JsonReader.h"

namespace mustardtray {

namespace {

constexpr Millis kMaxTimeLeft{ 3'600'000 };

} // namespace

std::string FormatForwardEnvelope(const ForwardEnvelope& aEnvelope)
{
  return Json{
    { "kind", ToName(aEnvelope.m_kind) },
    { "request_id", aEnvelope.m_requestId },
    { "from", aEnvelope.m_from },
    { "time_left_ms", aEnvelope.m_timeLeft.count() },
    { "hopped_within_zone", aEnvelope.m_hops.m_withinZone },
    { "hopped_across_zones", aEnvelope.m_hops.m_acrossZones },
    { "epoch", aEnvelope.m_epoch }
  }.dump();
}

Result<ForwardEnvelope> ParseForwardEnvelope(const std::string& aText)
{
  const Json document = Json::parse(aText, nullptr, false);
  FieldErrors errors;
  JsonReader reader(document, "", errors);
  ForwardEnvelope envelope;
  envelope.m_kind = reader.RequiredEnum<ForwardKind>("kind");
  envelope.m_requestId = reader.RequiredString("request_id");
  envelope.m_from = reader.RequiredString("from");
  envelope.m_timeLeft = Millis(reader.RequiredInteger("time_left_ms", 0, kMaxTimeLeft.count()));
  envelope.m_hops.m_withinZone = reader.Bool("hopped_within_zone", false);
  envelope.m_hops.m_acrossZones = reader.Bool("hopped_across_zones", false);
  envelope.m_epoch = static_cast<std::uint64_t>(reader.Integer("epoch", 0, 0, INT64_MAX));
  if (!errors.empty()) {
    return Error{ ErrorKind::Invalid, "parse forward header", "", errors.front().Text() };
  }
  return envelope;
}

} // namespace mustardtray
