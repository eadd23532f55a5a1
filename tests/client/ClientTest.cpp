#include "client/Command.h"

#include <iostream>
#include <sstream>

#include <doctest/doctest.h>

#include "client/Table.h"
#include "tests/support/OperatorServer.h"

using namespace mustardtray;

namespace {

struct Outcome
{
  int m_exit = 0;
  std::string m_out;
  std::string m_error;
};

/// Runs one command of the client in this process.
Outcome Run(std::vector<std::string> aArguments)
{
  std::vector<char*> arguments;
  for (std::string& argument : aArguments) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  std::ostringstream out;
  std::ostringstream error;
  auto* oldOut = std::cout.rdbuf(out.rdbuf());
  auto* oldError = std::cerr.rdbuf(error.rdbuf());
  const int exit = RunClient(static_cast<int>(aArguments.size()), arguments.data());
  std::cout.rdbuf(oldOut);
  std::cerr.rdbuf(oldError);
  return { exit, out.str(), error.str() };
}

std::string Example(const std::string& aName)
{
  return test::ExamplePath(aName);
}

bool Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

TEST_CASE("The client applies, reads, labels and explains a configuration")
{
  test::OperatorServer server;
  REQUIRE(server.HasStarted());
  const auto run = [&server](std::vector<std::string> aArguments) {
    aArguments.insert(aArguments.end(), { "--operator", server.Url() });
    return Run(std::move(aArguments));
  };
  const Outcome dry = run({ "apply", Example("wroblewski.json"), "--dry-run" });
  CHECK(dry.m_exit == 0);
  CHECK(Contains(dry.m_out, "50 VMs change pool, 0 have to drain"));
  const Outcome applied = run({ "apply", Example("wroblewski.json"), "--wait" });
  CHECK(applied.m_exit == 0);
  CHECK(Contains(applied.m_out, "accepted: version 1"));
  CHECK(Contains(applied.m_error, "version 1 is in force on all 1 entry VMs"));
  CHECK(run({ "diff", Example("wroblewski.json") }).m_out == "no change\n");
  CHECK(Contains(run({ "get", "pools" }).m_out, "returns           workload=returns"));

  const Outcome labelled = run({ "label", "pl-a-t02", "workload=bookings", "disk=fast" });
  CHECK(labelled.m_exit == 0);
  CHECK(Contains(labelled.m_out, "accepted: version 2"));
  CHECK(Contains(run({ "get", "vm", "pl-a-t02" }).m_out, "disk=fast,workload=bookings"));
  CHECK(Contains(run({ "explain", "vm", "pl-a-t02" }).m_out, "pool bookings matches them"));
  CHECK(
    Contains(run({ "explain", "request", "POST", "/bookings/confirm" }).m_out, "queue confirm"));
  CHECK(Contains(run({ "history" }).m_out, "/vm_labels/pl-a-t02/disk"));
  CHECK(Contains(run({ "status" }).m_out, "in force"));
  CHECK(run({ "drain", "pl-a-t02" }).m_exit == 0);
  CHECK(server.m_drainedVms == std::vector<std::string>{ "pl-a-t02" });
  CHECK(run({ "maintain", "zone=pl-a" }).m_exit == 1); // This server does not offer it.
}

TEST_CASE("The client says what is wrong and hints at close names")
{
  test::OperatorServer server;
  const auto run = [&server](std::vector<std::string> aArguments) {
    aArguments.insert(aArguments.end(), { "--operator", server.Url() });
    return Run(std::move(aArguments));
  };
  REQUIRE(run({ "apply", Example("wroblewski.json") }).m_exit == 0);
  const Outcome refused = run({ "label", "pl-a-t01", "workload-" });
  CHECK(refused.m_exit == 0); // Allowed: the VM is in no pool then.
  CHECK(Contains(run({ "get", "services", "bokings" }).m_error, "did you mean \"bookings\"?"));
  CHECK(Contains(run({ "explain", "vm", "pl-a-t3" }).m_error, "did you mean"));
  CHECK(Contains(run({ "stats" }).m_error, "did you mean \"status\"?"));
  CHECK(run({ "stats" }).m_exit == 2);
  CHECK(run({ "get", "poosl" }).m_exit == 2);
  CHECK(run({ "label", "pl-a-t01", "oops" }).m_exit == 2);
  CHECK(run({ "get", "pools", "--output", "xml" }).m_exit == 2);
  CHECK(run({ "apply", "/no/such/file" }).m_exit == 1);
  CHECK(Run({ "status", "--operator", "http://127.0.0.1:1" }).m_exit == 1);
  const Outcome json = run({ "get", "teams", "--output", "json" });
  CHECK(Json::parse(json.m_out).contains("depot"));
}

TEST_CASE("The client names the entry VMs that lag, and a conflict's field")
{
  test::OperatorServer server;
  const std::vector<std::string> at{ "--operator", server.Url() };
  REQUIRE(Run({ "apply", Example("wroblewski.json"), at[0], at[1] }).m_exit == 0);
  server.Run([&server] {
    server.m_otherNodes.push_back({ "pl-b-e1", "pl-b", 0, Millis(9'000), false });
  });
  CHECK(Contains(Run({ "status", at[0], at[1] }).m_out, "not heard from"));
  server.Run([&server] { server.m_platform.m_isDown = true; });
  const Outcome refused = Run({ "label", "pl-a-t01", "a=b", at[0], at[1] });
  CHECK(refused.m_exit == 1);
  CHECK(Contains(refused.m_out, "not-accepted"));
}

TEST_CASE("check judges files without a daemon")
{
  const Outcome good =
    Run({ "check", "--config", Example("cascadia.json"), "--vms", Example("cascadia-vms.json") });
  CHECK(good.m_exit == 0);
  CHECK(good.m_out == "0 errors, 0 warnings\n");
  const Outcome wrong = Run({ "check", "--config", Example("cascadia-vms.json") });
  CHECK(wrong.m_exit == 1);
  CHECK(Contains(wrong.m_error, "allowed: an object"));
  CHECK(Run({ "check" }).m_exit == 2);
  CHECK(Run({ "check", "--config", "/no/such/file" }).m_exit == 1);
}

TEST_CASE("Every command has help with an example")
{
  for (const Command& command : ClientCommands()) {
    const Outcome help = Run({ command.m_name, "--help" });
    CHECK(help.m_exit == 0);
    CHECK(Contains(help.m_out, "Example: mustardtray " + command.m_name));
  }
  CHECK(Run({ "--help" }).m_exit == 0);
  CHECK(Run({}).m_exit == 2);
}
