#include "mustardtray/job/AccountKeys.h"

#include <cstring>

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace mustardtray::job {

namespace {

std::uint64_t PrefixOf(const KeyDigest& aDigest)
{
  std::uint64_t prefix = 0;
  std::memcpy(&prefix, aDigest.data(), sizeof(prefix));
  return prefix;
}

} // namespace

KeyDigest DigestOf(std::string_view aKey)
{
  KeyDigest digest{};
  EVP_Digest(aKey.data(), aKey.size(), digest.data(), nullptr, EVP_sha256(), nullptr);
  return digest;
}

std::string KeyLabel(std::string_view aKey)
{
  const KeyDigest digest = DigestOf(aKey);
  return fmt::format("{:02x}{:02x}{:02x}{:02x}", digest[0], digest[1], digest[2], digest[3]);
}

AccountKeys::AccountKeys(const std::vector<AccountSpec>& aAccounts)
{
  for (const AccountSpec& account : aAccounts) {
    for (const std::string& key : account.m_keys) {
      const KeyDigest digest = DigestOf(key);
      m_entries.emplace(PrefixOf(digest), Entry{ digest, m_accounts.size() });
    }
    m_accounts.push_back(account.m_name);
  }
}

std::optional<std::string> AccountKeys::FindAccount(std::string_view aKey) const
{
  const KeyDigest digest = DigestOf(aKey);
  const auto [begin, end] = m_entries.equal_range(PrefixOf(digest));
  for (auto entry = begin; entry != end; ++entry) {
    const KeyDigest& known = entry->second.m_digest;
    if (CRYPTO_memcmp(known.data(), digest.data(), digest.size()) == 0) {
      return m_accounts[entry->second.m_account];
    }
  }
  return std::nullopt;
}

Access DecideAccess(const AccessInput& aInput)
{
  if (aInput.m_account) {
    const bool isViewTooOld =
      aInput.m_isRevocationStrict && aInput.m_viewAge > aInput.m_maxRevocationDelay;
    return isViewTooOld ? Access::ViewTooOld : Access::Granted;
  }
  if (aInput.m_isQueuePublic) {
    return Access::Granted;
  }
  const bool mayBeNew = aInput.m_key && aInput.m_viewAge > kMaxUnknownKeyViewAge;
  return mayBeNew ? Access::Unconfirmed : Access::Unauthorized;
}

} // namespace mustardtray::job
