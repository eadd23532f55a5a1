#include "client/Command.h"

#include <iostream>
#include <sstream>

#include <doctest/doctest.h>

#include "client/Table.h"
#include "tests/support/OperatorServer.h"

using namespace mustardtray;

namespace {

struct CommandResult
{
  int m_exitCode = 0;
  std::string m_output;
  std::string m_errorOutput;
};

/// Runs one client command in this process and captures its output.
CommandResult RunCommand(std::vector<std::string> aArguments)
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

std::string ExamplePath(const std::string& aName)
{
  return test::ExamplePath(aName);
}

bool Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

TEST_CASE("Client commands apply, read, label and explain a configuration")
{
  test::OperatorServer server;
  REQUIRE(server.HasStarted());
  const auto run = [&server](std::vector<std::string> aArguments) {
    aArguments.insert(aArguments.end(), { "--operator", server.Url() });
    return RunCommand(std::move(aArguments));
  };
  const CommandResult dryRun = run({ "apply", ExamplePath("wroblewski.json"), "--dry-run" });
  CHECK(dryRun.m_exitCode == 0);
  CHECK(Contains(dryRun.m_output, "50 VMs change pool, 0 have to drain"));
  const CommandResult applied = run({ "apply", ExamplePath("wroblewski.json"), "--wait" });
  CHECK(applied.m_exitCode == 0);
  CHECK(Contains(applied.m_output, "accepted: version 1"));
  CHECK(Contains(applied.m_errorOutput, "version 1 is in force on all 1 entry VMs"));
  CHECK(run({ "diff", ExamplePath("wroblewski.json") }).m_output == "no change\n");
  CHECK(Contains(run({ "get", "pools" }).m_output, "returns           workload=returns"));

  const CommandResult labelled = run({ "label", "pl-a-t02", "workload=bookings", "disk=fast" });
  CHECK(labelled.m_exitCode == 0);
  CHECK(Contains(labelled.m_output, "accepted: version 2"));
  CHECK(Contains(run({ "get", "vm", "pl-a-t02" }).m_output, "disk=fast,workload=bookings"));
  CHECK(Contains(run({ "explain", "vm", "pl-a-t02" }).m_output, "pool bookings matches them"));
  CHECK(
    Contains(run({ "explain", "request", "POST", "/bookings/confirm" }).m_output, "queue confirm"));
  CHECK(Contains(run({ "history" }).m_output, "/vm_labels/pl-a-t02/disk"));
  CHECK(Contains(run({ "status" }).m_output, "in force"));
  CHECK(run({ "drain", "pl-a-t02" }).m_exitCode == 0);
  CHECK(server.m_drainedVms == std::vector<std::string>{ "pl-a-t02" });
  CHECK(run({ "maintain", "zone=pl-a" }).m_exitCode == 1); // Not supported by the test server.
}

TEST_CASE("Client commands report invalid input and suggest similar names")
{
  test::OperatorServer server;
  const auto run = [&server](std::vector<std::string> aArguments) {
    aArguments.insert(aArguments.end(), { "--operator", server.Url() });
    return RunCommand(std::move(aArguments));
  };
  REQUIRE(run({ "apply", ExamplePath("wroblewski.json") }).m_exitCode == 0);
  const CommandResult removed = run({ "label", "pl-a-t01", "workload-" });
  CHECK(removed.m_exitCode == 0); // Allowed: the VM then belongs to no pool.
  CHECK(
    Contains(run({ "get", "services", "bokings" }).m_errorOutput, "did you mean \"bookings\"?"));
  CHECK(Contains(run({ "explain", "vm", "pl-a-t3" }).m_errorOutput, "did you mean"));
  CHECK(Contains(run({ "stats" }).m_errorOutput, "did you mean \"status\"?"));
  CHECK(run({ "stats" }).m_exitCode == 2);
  CHECK(run({ "get", "poosl" }).m_exitCode == 2);
  CHECK(run({ "label", "pl-a-t01", "oops" }).m_exitCode == 2);
  CHECK(run({ "get", "pools", "--output", "xml" }).m_exitCode == 2);
  CHECK(run({ "apply", "/no/such/file" }).m_exitCode == 1);
  CHECK(RunCommand({ "status", "--operator", "http://127.0.0.1:1" }).m_exitCode == 1);
  const CommandResult json = run({ "get", "teams", "--output", "json" });
  CHECK(Json::parse(json.m_output).contains("depot"));
}

TEST_CASE("Client commands report entry VMs without a heartbeat and a refused change")
{
  test::OperatorServer server;
  const std::vector<std::string> endpoint{ "--operator", server.Url() };
  REQUIRE(
    RunCommand({ "apply", ExamplePath("wroblewski.json"), endpoint[0], endpoint[1] }).m_exitCode ==
    0);
  server.Run([&server] {
    server.m_otherNodes.push_back({ "pl-b-e1", "pl-b", 0, Millis(9'000), false });
  });
  CHECK(Contains(RunCommand({ "status", endpoint[0], endpoint[1] }).m_output, "not heard from"));
  server.Run([&server] { server.m_platform.m_isDown = true; });
  const CommandResult refused =
    RunCommand({ "label", "pl-a-t01", "a=b", endpoint[0], endpoint[1] });
  CHECK(refused.m_exitCode == 1);
  CHECK(Contains(refused.m_output, "not-accepted"));
}

TEST_CASE("check validates files without a daemon")
{
  const CommandResult valid = RunCommand({ "check",
                                           "--config",
                                           ExamplePath("cascadia.json"),
                                           "--vms",
                                           ExamplePath("cascadia-vms.json") });
  CHECK(valid.m_exitCode == 0);
  CHECK(valid.m_output == "0 errors, 0 warnings\n");
  const CommandResult invalid =
    RunCommand({ "check", "--config", ExamplePath("cascadia-vms.json") });
  CHECK(invalid.m_exitCode == 1);
  CHECK(Contains(invalid.m_errorOutput, "allowed: an object"));
  CHECK(RunCommand({ "check" }).m_exitCode == 2);
  CHECK(RunCommand({ "check", "--config", "/no/such/file" }).m_exitCode == 1);
}

TEST_CASE("Every command prints help with an example")
{
  for (const Command& command : ClientCommands()) {
    const CommandResult help = RunCommand({ command.m_name, "--help" });
    CHECK(help.m_exitCode == 0);
    CHECK(Contains(help.m_output, "Example: mustardtray " + command.m_name));
  }
  CHECK(RunCommand({ "--help" }).m_exitCode == 0);
  CHECK(RunCommand({}).m_exitCode == 2);
}
