#pragma once

/// Runs a small fleet of real processes for one test case: two availability zones with two entry
/// VMs each, and one service with urgent, may-wait, idempotent and non-idempotent queues.

#include <filesystem>

#include <doctest/doctest.h>

#include "standin/LoadGenerator.h"
#include "standin/LocalFleet.h"

namespace mustardtray::test {

class FleetFixture
{
public:
  explicit FleetFixture(const std::string& aName, Json aExtraSettings = Json::object())
    : m_fleet(Options(aName, std::move(aExtraSettings)))
  {
    const Result<void> started = m_fleet.Start();
    REQUIRE_MESSAGE(started.has_value(), (started.has_error() ? started.error().Text() : ""));
    REQUIRE(m_fleet.WaitUntilServing(Millis(20'000)));
    REQUIRE(WaitUntilAnswering(CallerUrls(), "/orders", Millis(30'000)));
  }

  LocalFleet& Fleet() { return m_fleet; }

  std::vector<std::string> CallerUrls() const
  {
    std::vector<std::string> urls;
    for (const LocalEntryVm& entry : m_fleet.EntryVms()) {
      urls.push_back(entry.m_callerUrl);
    }
    return urls;
  }

  /// Returns a load on one queue of the service, distributed over all entry VMs.
  LoadOptions Load(const std::string& aPrefix,
                   const std::string& aMethod,
                   const std::string& aQueue)
  {
    LoadOptions load;
    load.m_urls = CallerUrls();
    load.m_workIdPrefix = aPrefix;
    load.m_method = aMethod;
    load.m_path = "/orders/" + aQueue;
    load.m_isIdempotent = aMethod == "GET";
    return load;
  }

  std::size_t MinionStat(const std::string& aName) const
  {
    return m_fleet.MinionStats().at(aName).get<std::size_t>();
  }
  std::size_t WorkItemStat(const std::string& aName) const
  {
    return m_fleet.MinionStats().at("work").at(aName).get<std::size_t>();
  }

private:
  static LocalFleetOptions Options(const std::string& aName, Json aExtraSettings)
  {
    LocalFleetOptions options;
    options.m_binaryFolder = BINARIES;
    options.m_configurationFile = SOURCES "/tests/end_to_end/fleet.json";
    options.m_vmsFile = SOURCES "/tests/end_to_end/fleet-vms.json";
    options.m_folder = BINARIES "/end-to-end/" + aName;
    options.m_extraSettings = std::move(aExtraSettings);
    std::filesystem::remove_all(options.m_folder);
    return options;
  }

  LocalFleet m_fleet;
};

} // namespace mustardtray::test
