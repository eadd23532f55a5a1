#include "mustardtray/job/AccountMessages.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

namespace mustardtray::job {

using nlohmann::json;

namespace {

constexpr const char* kMember = "accounts";
constexpr std::size_t kNumbersPerUse = 13;
constexpr double kRateResolution =
  100; ///< Rates are sent with two decimals to keep messages short.

void Append(json& aOut, const Resources& aResources)
{
  for (const auto kind : kResourceKinds) {
    aOut.push_back(aResources.*kind);
  }
}

Resources ResourcesAt(const json& aIn, std::size_t aFirst)
{
  Resources resources;
  for (std::size_t i = 0; i < kResourceKinds.size(); ++i) {
    resources.*kResourceKinds[i] =
      std::max<std::int64_t>(0, aIn.at(aFirst + i).get<std::int64_t>());
  }
  return resources;
}

double RoundedRate(double aRate)
{
  return std::round(aRate * kRateResolution) / kRateResolution;
}

} // namespace

Resources MaxOf(const Resources& aLeft, const Resources& aRight)
{
  Resources larger = aLeft;
  for (const auto kind : kResourceKinds) {
    larger.*kind = std::max(larger.*kind, aRight.*kind);
  }
  return larger;
}

bool IsZero(const Resources& aResources)
{
  return std::all_of(kResourceKinds.begin(), kResourceKinds.end(), [&](const auto aKind) {
    return aResources.*aKind == 0;
  });
}

void AddAccounts(json& aMessage, const AccountReport& aReport)
{
  if (aReport.m_owner == 0) {
    return;
  }
  json uses = json::object();
  for (const auto& [name, use] : aReport.m_accounts) {
    json numbers = json::array();
    Append(numbers, use.m_allowance);
    Append(numbers, use.m_used);
    Append(numbers, use.m_wanted);
    Append(numbers, use.m_largest);
    numbers.push_back(RoundedRate(use.m_arrivals));
    uses[name] = std::move(numbers);
  }
  aMessage[kMember] = { { "owner", aReport.m_owner },
                        { "holder", aReport.m_holder },
                        { "seq", aReport.m_sequence },
                        { "recovering", aReport.m_isRecovering },
                        { "use", std::move(uses) } };
}

void AddAccounts(json& aMessage, const AccountGrants& aGrants)
{
  if (aGrants.m_holder == 0) {
    return;
  }
  json allowances = json::object();
  for (const auto& [name, allowance] : aGrants.m_allowances) {
    json numbers = json::array();
    Append(numbers, allowance);
    allowances[name] = std::move(numbers);
  }
  json arrivals = json::object();
  for (const auto& [name, rate] : aGrants.m_arrivals) {
    arrivals[name] = RoundedRate(rate);
  }
  aMessage[kMember] = { { "holder", aGrants.m_holder },
                        { "seq", aGrants.m_sequence },
                        { "owner", aGrants.m_owner },
                        { "allow", std::move(allowances) },
                        { "arrivals", std::move(arrivals) } };
}

AccountReport AccountReportOf(const json& aMessage)
{
  AccountReport report;
  const auto in = aMessage.find(kMember);
  if (in == aMessage.end()) {
    return report;
  }
  report.m_owner = in->at("owner").get<std::uint64_t>();
  report.m_holder = in->at("holder").get<std::uint64_t>();
  report.m_sequence = in->at("seq").get<std::uint64_t>();
  report.m_isRecovering = in->at("recovering").get<bool>();
  for (const auto& [name, numbers] : in->at("use").items()) {
    constexpr std::size_t kKinds = kResourceKinds.size();
    AccountUse& use = report.m_accounts[name];
    use.m_allowance = ResourcesAt(numbers, 0);
    use.m_used = ResourcesAt(numbers, kKinds);
    use.m_wanted = ResourcesAt(numbers, 2 * kKinds);
    use.m_largest = ResourcesAt(numbers, 3 * kKinds);
    use.m_arrivals = numbers.at(kNumbersPerUse - 1).get<double>();
  }
  return report;
}

AccountGrants AccountGrantsOf(const json& aMessage)
{
  AccountGrants grants;
  const auto in = aMessage.find(kMember);
  if (in == aMessage.end()) {
    return grants;
  }
  grants.m_holder = in->at("holder").get<std::uint64_t>();
  grants.m_sequence = in->at("seq").get<std::uint64_t>();
  grants.m_owner = in->at("owner").get<std::uint64_t>();
  for (const auto& [name, numbers] : in->at("allow").items()) {
    grants.m_allowances[name] = ResourcesAt(numbers, 0);
  }
  grants.m_arrivals = in->at("arrivals").get<std::map<std::string, double>>();
  return grants;
}

} // namespace mustardtray::job
