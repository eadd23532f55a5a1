#include "mustardtray/process/fleet/FleetView.h"

namespace mustardtray {

namespace {

template<typename T, typename Parse>
void StoreRow(const Row& aRow,
              std::string_view aPrefix,
              Parse aParse,
              std::map<std::string, Versioned<T>>& aRecords,
              std::map<std::string, std::string>& aParseErrors)
{
  auto parsed = aParse(aRow.m_value);
  const std::string name = aRow.m_key.substr(aPrefix.size());
  if (parsed) {
    aRecords[name] = Versioned<T>{ aRow.m_version, std::move(parsed).value() };
    aParseErrors.erase(aRow.m_key);
  } else {
    aRecords.erase(name);
    aParseErrors[aRow.m_key] = parsed.error().Text();
  }
}

/// Calls aHandler with the prefix, the parse function and the map for the kind of row that the key
/// names.
template<typename Handler>
void DispatchByPrefix(FleetView& aView, const std::string& aKey, Handler aHandler)
{
  if (aKey.starts_with(kVmRowPrefix)) {
    aHandler(kVmRowPrefix, ParseVmRecord, aView.m_vms);
  } else if (aKey.starts_with(kLedgerRowPrefix)) {
    aHandler(kLedgerRowPrefix, ParseLedgerRecord, aView.m_ledgers);
  } else if (aKey.starts_with(kPoolRowPrefix)) {
    aHandler(kPoolRowPrefix, ParsePoolRecord, aView.m_pools);
  } else if (aKey.starts_with(kWaveRowPrefix)) {
    aHandler(kWaveRowPrefix, ParseWaveRecord, aView.m_waves);
  } else if (aKey.starts_with(kLeaseRowPrefix)) {
    aHandler(kLeaseRowPrefix, ParseLeaseRecord, aView.m_leases);
  } else if (aKey.starts_with(kReportRowPrefix)) {
    aHandler(kReportRowPrefix, ParseEntryReport, aView.m_reports);
  }
}

template<typename T>
Versioned<T> FindOrDefault(const std::map<std::string, Versioned<T>>& aMap,
                           const std::string& aName)
{
  const auto found = aMap.find(aName);
  return found == aMap.end() ? Versioned<T>{} : found->second;
}

} // namespace

void FleetView::Apply(const ScanPage& aPage)
{
  for (const Row& row : aPage.m_rows) {
    DispatchByPrefix(*this, row.m_key, [&](std::string_view aPrefix, auto aParse, auto& aRecords) {
      StoreRow(row, aPrefix, aParse, aRecords, m_parseErrors);
    });
  }
  for (const std::string& key : aPage.m_deleted) {
    DispatchByPrefix(*this, key, [&](std::string_view aPrefix, auto, auto& aRecords) {
      aRecords.erase(key.substr(aPrefix.size()));
    });
    m_parseErrors.erase(key);
  }
}

const VmRecord* FleetView::Vm(const std::string& aName) const
{
  const auto found = m_vms.find(aName);
  return found == m_vms.end() ? nullptr : &found->second.m_value;
}

Versioned<LedgerRecord> FleetView::Ledger(const std::string& aService) const
{
  return FindOrDefault(m_ledgers, aService);
}

Versioned<PoolRecord> FleetView::Pool(const std::string& aPool) const
{
  return FindOrDefault(m_pools, aPool);
}

FleetIndex BuildFleetIndex(const FleetView& aView, const Configuration& aConfiguration)
{
  std::map<std::string, std::vector<const ServiceConfig*>> servicesByPool;
  for (const auto& [name, service] : aConfiguration.m_services) {
    servicesByPool[service.m_pool].push_back(&service);
  }
  FleetIndex index;
  for (const auto& [name, row] : aView.m_vms) {
    const std::string& pool = row.m_value.m_pool;
    const Labels& labels = index.m_labelsByVm[name] = LabelsOf(aConfiguration, row.m_value);
    index.m_vmsByPool[pool].push_back(name);
    for (const ServiceConfig* service : servicesByPool[pool]) {
      if (RunsOn(*service, pool, labels)) {
        index.m_servicesByVm[name].push_back(service->m_name);
        index.m_vmsByService[service->m_name].push_back(name);
      }
    }
  }
  return index;
}

Labels LabelsOf(const Configuration& aConfiguration, const VmRecord& aVm)
{
  VmListing listing;
  listing.m_name = aVm.m_name;
  listing.m_zone = aVm.m_zone;
  listing.m_rack = aVm.m_rack;
  return LabelsOf(aConfiguration, listing);
}

std::string PoolByLabels(const Configuration& aConfiguration, const Labels& aLabels)
{
  const std::vector<std::string> pools = FindMatchingPools(aConfiguration, aLabels);
  return pools.empty() ? std::string() : pools.front();
}

bool IsJoining(const VmRecord& aRecord)
{
  return aRecord.m_operation == VmOperation::Move && aRecord.m_targetPool.empty();
}

} // namespace mustardtray
