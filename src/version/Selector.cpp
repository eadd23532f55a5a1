#include "mustardtray/version/Configuration.h"

#include <algorithm>

namespace mustardtray {

bool Selector::Matches(const Labels& aLabels) const
{
  return std::all_of(m_anyOf.begin(), m_anyOf.end(), [&aLabels](const auto& aTerm) {
    const auto label = aLabels.find(aTerm.first);
    if (label == aLabels.end()) {
      return false;
    }
    const auto& values = aTerm.second;
    return std::find(values.begin(), values.end(), label->second) != values.end();
  });
}

} // namespace mustardtray
