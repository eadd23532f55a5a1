#pragma once

/// JSON in the interfaces of the stand-ins: strict parsing of documents, and responses.

#include <string>
#include <string_view>

#include "mustardtray/connection/HttpMessage.h"
#include "mustardtray/process/Error.h"
#include "mustardtray/process/JsonReader.h"
#include "standin/StandinServer.h"

namespace mustardtray {

/// Parses a JSON object and passes its reader to aRead. Errors: Invalid; the message lists every
/// error of the document.
template<typename T, typename Read>
Result<T> ParseDocument(std::string_view aDocumentName, std::string_view aText, Read aRead)
{
  const std::string step = "parse " + std::string(aDocumentName);
  const Json document = Json::parse(aText, nullptr, false);
  if (document.is_discarded()) {
    return Error{ ErrorKind::Invalid, step, "", "no JSON document" };
  }
  FieldErrors errors;
  JsonReader reader(document, "", errors);
  T value = aRead(reader);
  reader.Finish();
  if (errors.empty()) {
    return value;
  }
  std::string text;
  for (const FieldError& error : errors) {
    text += text.empty() ? "" : "; ";
    text += error.Text();
  }
  return Error{ ErrorKind::Invalid, step, "", std::move(text) };
}

inline void SendJson(StandinExchange& aExchange, int aStatus, const Json& aValue)
{
  aExchange.SendResponse(
    JsonResponse(aStatus, aValue.dump(-1, ' ', false, Json::error_handler_t::replace)));
}

inline void SendError(StandinExchange& aExchange, int aStatus, const std::string& aMessage)
{
  SendJson(aExchange, aStatus, Json{ { "error", aMessage } });
}

} // namespace mustardtray
