/// Callers that exceed the limits must not make a node exit, exceed its memory or its descriptors,
/// or stop answering other callers. Each case runs against a `mustardtray node` process of its own.

#include <filesystem>
#include <fstream>
#include <optional>
#include <thread>
#include <unistd.h>

#include <asio/connect.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include "standin/LocalProcess.h"
#include "tests/hostile_callers/HostileCrowd.h"

using namespace mustardtray;
using namespace mustardtray::test;

namespace {

constexpr std::uint16_t kCallerPort = 8624;
constexpr std::uint16_t kReadyPort = 8622;
constexpr std::uint16_t kPeerPort = 7060;
/// Of the node's settings, and the bounds of its resident memory and of its open descriptors.
constexpr std::size_t kMemoryMb = 48;
constexpr std::size_t kMaxDescriptors = 400;
/// More than half of the descriptors, and at 256 KB each more than the memory.
constexpr std::size_t kConnections = 240;
/// The crowd sends for at most this many rounds.
constexpr int kMaxSendRounds = 25;
/// The crowd has stopped when it sent nothing in this many rounds.
constexpr int kQuietRounds = 3;
/// Only ends a test whose node does not answer at all.
constexpr std::chrono::seconds kAnswerWait{ 12 };
constexpr std::size_t kMaxBodyBytes = 262'144;

const std::string kGet =
  "GET /queue/0123456789abcdef HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

/// A node whose store does not answer.
class NodeProcess
{
public:
  NodeProcess()
  {
    m_ip = fmt::format("127.{}.{}.1", 64 + getpid() % 128, getpid() / 128 % 250);
    const std::string folder = BINARIES "/hostile-callers-runs";
    std::filesystem::create_directories(folder);
    const std::string settings = folder + "/node.conf";
    std::ofstream(settings) << "node_name=node-1\nip=" << m_ip << "\nzone=z1\nzones.z1=r1\n"
                            << "listen.front=" << m_ip << ":" << kCallerPort
                            << "\nlisten.ready=" << m_ip << ":" << kReadyPort
                            << "\ninternal_ports=" << kPeerPort << "," << kPeerPort + 15
                            << "\nlimits.max_fds=" << kMaxDescriptors
                            << "\nlimits.memory_mb=" << kMemoryMb
                            << "\nplatform.address=127.0.0.1:1\n";
    m_process.m_name = "node-1";
    m_process.m_command = { BINARIES "/mustardtray", "node", "--settings", settings };
    m_process.m_logFile = folder + "/node.log";
    REQUIRE(StartProcess(m_process).has_value());
    for (int i = 0; i < 100 && Ask(kPeerPort, { kGet }).empty(); ++i) {
      std::this_thread::sleep_for(Millis(50));
    }
  }
  ~NodeProcess() { KillProcess(m_process); }
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  bool IsAlive() { return !HasEnded(m_process); }

  asio::ip::tcp::endpoint Endpoint(std::uint16_t aPort) const
  {
    return { asio::ip::make_address(m_ip), aPort };
  }

  /// Sends the parts with pauses between them. Returns the response; empty when there is none that
  /// is complete.
  std::string Ask(std::uint16_t aPort,
                  const std::vector<std::string>& aParts,
                  Millis aPause = Millis(0)) const
  {
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    std::string response;
    asio::error_code error;
    socket.connect(Endpoint(aPort), error);
    for (const std::string& part : aParts) {
      asio::write(socket, asio::buffer(part), error);
      std::this_thread::sleep_for(aPause);
    }
    asio::async_read(
      socket, asio::dynamic_buffer(response), [](const asio::error_code&, std::size_t) {});
    context.run_for(kAnswerWait);
    const bool isComplete = response.starts_with("HTTP/1.1 ") && response.ends_with("}");
    return isComplete ? response : std::string{};
  }

  /// Highest resident memory since the start.
  std::size_t PeakMemoryMb() const
  {
    std::ifstream file(fmt::format("/proc/{}/status", m_process.m_pid));
    for (std::string line; std::getline(file, line);) {
      if (line.starts_with("VmHWM:")) {
        return std::stoul(line.substr(6)) / 1'024;
      }
    }
    return 0;
  }

  std::size_t OpenDescriptors() const
  {
    std::error_code ignored;
    const std::filesystem::directory_iterator entries(fmt::format("/proc/{}/fd", m_process.m_pid),
                                                      ignored);
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
  }

private:
  std::string m_ip;
  LocalProcess m_process;
};

/// Exposes a node to the callers and checks that it stays within its limits and answers.
void CheckNodeSurvives(const std::vector<HostileScript>& aScripts,
                       const std::vector<std::uint16_t>& aPorts)
{
  NodeProcess node;
  std::size_t descriptors = 0;
  {
    HostileCrowd crowd;
    for (const std::uint16_t port : aPorts) {
      crowd.Open(node.Endpoint(port), aScripts, kConnections);
    }
    int quietRounds = 0;
    for (int round = 0; round < kMaxSendRounds && quietRounds < kQuietRounds; ++round) {
      quietRounds = crowd.SendSome() ? 0 : quietRounds + 1;
      descriptors = std::max(descriptors, node.OpenDescriptors());
    }
    CHECK_MESSAGE(!node.Ask(kReadyPort, { kGet }).empty(), "readiness, meanwhile");
    for (const std::uint16_t port : aPorts) {
      CHECK_MESSAGE(!node.Ask(port, { kGet }).empty(), "port, meanwhile: ", port);
    }
    descriptors = std::max(descriptors, node.OpenDescriptors());
  }
  REQUIRE(node.IsAlive());
  for (const std::uint16_t port : aPorts) {
    CHECK_MESSAGE(!node.Ask(port, { kGet }).empty(), "port, afterwards: ", port);
  }
  const std::size_t memoryMb = node.PeakMemoryMb();
  CHECK(memoryMb > 0);
  CHECK(memoryMb < kMemoryMb);
  CHECK(descriptors < kMaxDescriptors);
  MESSAGE("peak memory in MB: ", memoryMb, ", descriptors: ", descriptors);
}

void CheckEachAlone(std::uint16_t aPort)
{
  for (const HostileScript& script : HostileScripts()) {
    INFO("callers: ", script.m_name);
    MESSAGE(script.m_name);
    CheckNodeSurvives({ script }, { aPort });
  }
}

std::vector<std::string> Chunked(std::size_t aBodyBytes, std::size_t aChunkBytes)
{
  std::string request = "POST /queue/0123456789abcdef HTTP/1.1\r\nHost: a\r\n"
                        "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (std::size_t sent = 0; sent < aBodyBytes; sent += aChunkBytes) {
    request += fmt::format("{:x}\r\n{}\r\n", aChunkBytes, std::string(aChunkBytes, 'a'));
  }
  return { request + "0\r\n\r\n" };
}

} // namespace

TEST_CASE("hostile callers, each kind alone, leave the callers' listener serving within the limits")
{
  CheckEachAlone(kCallerPort);
}

TEST_CASE("hostile callers, each kind alone, leave the peers' listener serving within the limits")
{
  CheckEachAlone(kPeerPort);
}

TEST_CASE("hostile callers of all kinds at both listeners leave a node serving within the limits")
{
  CheckNodeSurvives(HostileScripts(), { kCallerPort, kPeerPort });
}

TEST_CASE("silent connections at both listeners leave a node serving within the limits")
{
  HostileScript silent;
  CheckNodeSurvives({ silent }, { kCallerPort, kPeerPort });
}

TEST_CASE("a request within the limits reaches the handler in calm")
{
  NodeProcess node;
  // The answer of the handler, other than those of the connection.
  const std::string answer = "no configuration yet";
  const std::string head = fmt::format("POST /queue/0123456789abcdef HTTP/1.1\r\nHost: a\r\n"
                                       "Connection: close\r\nContent-Length: {}\r\n\r\n",
                                       kMaxBodyBytes);
  const std::string body(kMaxBodyBytes, 'a');
  CHECK(node.Ask(kCallerPort, { head + body }).find(answer) != std::string::npos);
  CHECK(node.Ask(kCallerPort, Chunked(kMaxBodyBytes, 1)).find(answer) != std::string::npos);
  CHECK(node.Ask(kCallerPort, Chunked(kMaxBodyBytes, 64)).find(answer) != std::string::npos);
  // Slowly: a second between the parts.
  std::vector<std::string> parts{ head.substr(0, 30), head.substr(30) };
  for (std::size_t at = 0; at < body.size(); at += 65'536) {
    parts.push_back(body.substr(at, 65'536));
  }
  CHECK(node.Ask(kCallerPort, parts, Millis(1'000)).find(answer) != std::string::npos);
}

TEST_CASE("a body over the configured limit is refused as not run")
{
  NodeProcess node;
  for (const std::size_t bytes : { kMaxBodyBytes + 1, 2 * kMaxBodyBytes }) {
    const std::string response = node.Ask(kCallerPort, Chunked(bytes, bytes));
    CHECK(response.starts_with("HTTP/1.1 413"));
    CHECK(response.find("Mustardtray-Outcome: not-run") != std::string::npos);
  }
  CHECK_MESSAGE(!node.Ask(kPeerPort, Chunked(2 * kMaxBodyBytes, 1'024)).starts_with("HTTP/1.1 413"),
                "messages of peers may be longer");
}
