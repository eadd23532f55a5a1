#include "mustardtray/version/ParseConfiguration.h"

#include <set>

#include <fmt/format.h>

namespace mustardtray {

namespace {

/// Checks the parser's events for duplicate keys and excessive nesting.
class JsonStructureChecker
{
public:
  explicit JsonStructureChecker(FieldErrors& aErrors)
    : m_errors(aErrors)
  {
  }

  bool OnEvent(int aDepth, Json::parse_event_t aEvent, const Json& aParsed)
  {
    using Event = Json::parse_event_t;
    if (aEvent == Event::object_start || aEvent == Event::array_start) {
      // The parser reports no end event for a rejected container, so the number of open frames is
      // taken from the depth.
      m_frames.resize(static_cast<std::size_t>(aDepth));
      return EnterContainer(aDepth);
    }
    if (aEvent == Event::key) {
      m_frames.resize(static_cast<std::size_t>(aDepth));
      AddKey(aParsed.get_ref<const std::string&>());
    }
    return true;
  }

private:
  struct ContainerFrame
  {
    std::set<std::string> m_keys;
    std::string m_key; ///< Current key; empty for an array.
  };

  bool EnterContainer(int aDepth)
  {
    m_frames.emplace_back();
    if (aDepth < kMaxConfigurationDepth) {
      return true;
    }
    if (aDepth == kMaxConfigurationDepth) {
      m_errors.push_back({ CurrentPointer(),
                           "excessive nesting",
                           fmt::format("at most {} levels", kMaxConfigurationDepth) });
    }
    return false;
  }

  void AddKey(const std::string& aKey)
  {
    ContainerFrame& frame = m_frames.back();
    frame.m_key = aKey;
    if (!frame.m_keys.insert(aKey).second) {
      m_errors.push_back({ CurrentPointer(), "a duplicate key", "each key once" });
    }
  }

  std::string CurrentPointer() const
  {
    std::string pointer;
    for (const ContainerFrame& frame : m_frames) {
      if (!frame.m_key.empty()) {
        pointer += "/" + frame.m_key;
      }
    }
    return pointer;
  }

  FieldErrors& m_errors;
  std::vector<ContainerFrame> m_frames;
};

} // namespace

Json ParseJsonText(std::string_view aText, FieldErrors& aErrors)
{
  if (aText.size() > kMaxConfigurationBytes) {
    aErrors.push_back({ "",
                        fmt::format("{} bytes", aText.size()),
                        fmt::format("at most {} bytes", kMaxConfigurationBytes) });
    return Json(Json::value_t::discarded);
  }
  JsonStructureChecker checker(aErrors);
  const auto onEvent = [&checker](int aDepth, Json::parse_event_t aEvent, Json& aParsed) {
    return checker.OnEvent(aDepth, aEvent, aParsed);
  };
  try {
    Json document = Json::parse(aText, onEvent);
    return aErrors.empty() ? document : Json(Json::value_t::discarded);
  } catch (const Json::exception& error) {
    aErrors.push_back({ "", error.what(), "JSON text" });
    return Json(Json::value_t::discarded);
  }
}

} // namespace mustardtray
