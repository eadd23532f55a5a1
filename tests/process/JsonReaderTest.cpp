#include "mustardtray/process/JsonReader.h"

#include <doctest/doctest.h>

using namespace mustardtray;

TEST_CASE("JsonReader reports every fault at once with its pointer")
{
  const Json document = Json::parse(R"({"port": 70000, "nmae": "x", "list": [{"a": "b"}]})");
  FieldErrors errors;
  JsonReader reader(document, "", errors);
  CHECK(reader.Integer("port", 80, 1, 65535) == 80);
  CHECK(reader.RequiredString("name").empty());
  reader.Each("list", [](JsonReader& aItem) { aItem.RequiredInteger("a", 0, 9); });
  reader.Finish();
  REQUIRE(errors.size() == 4);
  CHECK(errors[0].Text() == "/port: found 70000, allowed: an integer from 1 to 65535");
  CHECK(errors[1].m_pointer == "/name");
  CHECK(errors[1].m_found == "nothing");
  CHECK(errors[2].m_pointer == "/list/0/a");
  CHECK(errors[3].m_pointer == "/nmae");
  CHECK(errors[3].m_allowed.find("did you mean \"name\"") != std::string::npos);
}
