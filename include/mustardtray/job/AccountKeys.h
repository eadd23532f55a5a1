#pragma once

/// API keys of client accounts: which account a key belongs to, and whether a request may be
/// handled. Keys are kept as SHA-256 digests only.

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "mustardtray/job/Deployment.h"
#include "mustardtray/process/Time.h"

namespace mustardtray::job {

using KeyDigest = std::array<unsigned char, 32>;

/// SHA-256 digest of an API key.
KeyDigest DigestOf(std::string_view aKey);
/// The first 8 hexadecimal digits of the key's digest, the only form of a key in logs.
std::string KeyLabel(std::string_view aKey);

class AccountKeys
{
public:
  AccountKeys() = default;
  explicit AccountKeys(const std::vector<AccountSpec>& aAccounts);

  /// Returns the name of the account that the key belongs to; empty for an unknown key. The time
  /// that it takes does not depend on how much of a digest matches.
  std::optional<std::string> FindAccount(std::string_view aKey) const;

private:
  struct Entry
  {
    KeyDigest m_digest;
    std::size_t m_account = 0;
  };
  std::vector<std::string> m_accounts;
  /// By the first 8 bytes of the digest. A caller cannot choose them without knowing the key.
  std::unordered_multimap<std::uint64_t, Entry> m_entries;
};

/// Who sent a request, as far as accounts are enforced.
struct Caller
{
  bool m_isChecked = false; ///< False where accounts are not enforced.
  std::string m_account;    ///< Empty for a request without a key to a public queue.

  /// Whether the caller may read or cancel a job of the account. Jobs without an account are
  /// accessible to everyone.
  bool MayAccess(const std::string& aJobAccount) const
  {
    return !m_isChecked || aJobAccount.empty() || aJobAccount == m_account;
  }
};

/// How long after the latest confirmation of the configuration a key that is not in it counts as
/// unknown. Later, it may have been added since.
inline constexpr Millis kMaxUnknownKeyViewAge{ 1'000 };

struct AccessInput
{
  bool m_isQueuePublic = false;
  /// Key of the request; empty when it is missing or malformed.
  std::optional<std::string> m_key;
  std::optional<std::string> m_account; ///< Of the key, in the configuration in force.
  Millis m_viewAge{ 0 };                ///< Time since the configuration was last confirmed.
  bool m_isRevocationStrict = false;
  Millis m_maxRevocationDelay{ 5'000 };
};

enum class Access
{
  Granted,
  Unauthorized, ///< The key is certainly not valid.
  Unconfirmed,  ///< The key is unknown but may have been added: the configuration must be read.
  ViewTooOld,   ///< The key is known but may have been revoked.
};

Access DecideAccess(const AccessInput& aInput);

} // namespace mustardtray::job

namespace mustardtray {

template<>
struct EnumNames<job::Access>
{
  static constexpr std::array kTable{
    std::pair{ job::Access::Granted, std::string_view("granted") },
    std::pair{ job::Access::Unauthorized, std::string_view("unauthorized") },
    std::pair{ job::Access::Unconfirmed, std::string_view("unconfirmed") },
    std::pair{ job::Access::ViewTooOld, std::string_view("view-too-old") },
  };
};

} // namespace mustardtray
