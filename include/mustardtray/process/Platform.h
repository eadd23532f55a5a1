#pragma once

/// The platform's services as typed messages, and the concept that PlatformClient and the fakes of
/// the tests satisfy. Only PlatformClient knows the wire format.

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "mustardtray/process/EnumNames.h"
#include "mustardtray/process/Error.h"
#include "mustardtray/process/JsonReader.h"

namespace mustardtray {

/// A row of the transactional table. The version starts at 1 and increases with every write.
struct Row
{
  std::string m_key;
  std::uint64_t m_version = 0;
  Json m_value;
};

/// Requires that a row still has this version; 0 requires that it does not exist.
struct RowCheck
{
  std::string m_key;
  std::uint64_t m_version = 0;
};

struct RowWrite
{
  std::string m_key;
  std::optional<Json> m_value; ///< Deletes the row when empty.
};

/// Applies all writes, or none if any check fails.
struct Transaction
{
  std::vector<RowCheck> m_checks;
  std::vector<RowWrite> m_writes;
};

struct Commit
{
  bool m_isCommitted = false;
  std::vector<std::string> m_conflicts; ///< Keys whose check failed.
  std::uint64_t m_revision = 0;         ///< Table revision after the commit.
};

/// Rows under a prefix that changed after a table revision.
struct ScanPage
{
  std::uint64_t m_revision = 0; ///< Pass to the next scan.
  std::vector<Row> m_rows;
  std::vector<std::string> m_deleted;
};

enum class VmState
{
  Live,
  Leaving,
  Gone,
};

template<>
struct EnumNames<VmState>
{
  static constexpr std::array kTable{
    std::pair{ VmState::Live, std::string_view("live") },
    std::pair{ VmState::Leaving, std::string_view("leaving") },
    std::pair{ VmState::Gone, std::string_view("gone") },
  };
};

enum class VmRole
{
  Entry,
  Target,
};

template<>
struct EnumNames<VmRole>
{
  static constexpr std::array kTable{
    std::pair{ VmRole::Entry, std::string_view("entry") },
    std::pair{ VmRole::Target, std::string_view("target") },
  };
};

/// One line of the platform's VM list. The list lags, and may contain the same VM more than once.
struct VmListing
{
  std::string m_name;
  std::string m_address; ///< IP address.
  std::string m_zone;
  std::string m_rack; ///< Empty when unknown.
  VmRole m_role = VmRole::Target;
  VmState m_state = VmState::Live;
  double m_cores = 0;
  std::int64_t m_memoryMb = 0;
  int m_accelerators = 0;
};

enum class VmAction
{
  Stop,   ///< Graceful shutdown of what runs on the VM.
  Reboot, ///< Restarts a stopped VM.
  Start,  ///< Starts the services of the VM's pool.
};

template<>
struct EnumNames<VmAction>
{
  static constexpr std::array kTable{
    std::pair{ VmAction::Stop, std::string_view("stop") },
    std::pair{ VmAction::Reboot, std::string_view("reboot") },
    std::pair{ VmAction::Start, std::string_view("start") },
  };
};

enum class ActionState
{
  Running,
  Done,
  Failed,
};

template<>
struct EnumNames<ActionState>
{
  static constexpr std::array kTable{
    std::pair{ ActionState::Running, std::string_view("running") },
    std::pair{ ActionState::Done, std::string_view("done") },
    std::pair{ ActionState::Failed, std::string_view("failed") },
  };
};

/// Requests an action, or the state of one that was requested before with the same operation id.
/// The platform carries out each operation id once.
struct VmActionRequest
{
  std::string m_vm;
  VmAction m_action = VmAction::Stop;
  std::string m_operationId;
  std::string m_pool; ///< For Start: whose services to start.
};

template<typename T>
using Callback = std::function<void(Result<T>)>;

/// Asynchronous access to the platform. Callbacks run on the control thread. An Error of kind
/// Unknown from Transact means that the writes may have been applied.
template<typename P>
concept PlatformAccess = requires(P aPlatform,
                                  Transaction aTransaction,
                                  std::vector<std::string> aKeys,
                                  std::string aPrefix,
                                  std::uint64_t aRevision,
                                  VmActionRequest aAction)
{
  aPlatform.Transact(aTransaction, Callback<Commit>{});
  aPlatform.Read(aKeys, Callback<std::vector<Row>>{});
  aPlatform.Scan(aPrefix, aRevision, Callback<ScanPage>{});
  aPlatform.ListVms(Callback<std::vector<VmListing>>{});
  aPlatform.RunVmAction(aAction, Callback<ActionState>{});
};

} // namespace mustardtray
