#include "client/ChangeText.h"

#include <fmt/format.h>

#include "client/Table.h"

namespace mustardtray {

namespace {

std::string NameOrNone(const std::string& aName)
{
  return aName.empty() ? "(none)" : aName;
}

std::string FormatMoves(const Json& aMoves)
{
  std::vector<TableRow> rows;
  for (const Json& move : aMoves) {
    rows.push_back({ move.at("vm").get<std::string>(),
                     NameOrNone(move.at("from").get<std::string>()),
                     NameOrNone(move.at("to").get<std::string>()) });
  }
  return rows.empty() ? "" : FormatTable({ "VM", "FROM POOL", "TO POOL" }, rows);
}

std::string FormatBudgets(const Json& aBudgets)
{
  std::vector<TableRow> rows;
  for (const Json& budget : aBudgets) {
    rows.push_back({ budget.at("service").get<std::string>(),
                     fmt::format("{} -> {}",
                                 budget.at("minions_before").get<int>(),
                                 budget.at("minions_after").get<int>()),
                     std::to_string(budget.at("drains").get<int>()),
                     std::to_string(budget.at("at_once").get<int>()) });
  }
  return rows.empty() ? "" : FormatTable({ "SERVICE", "MINIONS", "DRAINS", "AT ONCE" }, rows);
}

std::string FormatFieldErrors(const Json& aFieldErrors, std::string_view aSeverity)
{
  std::string text;
  for (const Json& fieldError : aFieldErrors) {
    const FieldError error{ fieldError.at("pointer"),
                            fieldError.at("found"),
                            fieldError.at("allowed") };
    text += fmt::format("{}: {}\n", aSeverity, error.Text());
  }
  return text;
}

} // namespace

std::string FormatChanges(const Json& aChanges)
{
  std::string text;
  for (const Json& change : aChanges) {
    const std::string pointer = change.at("pointer").get<std::string>();
    const Json& before = change.at("before");
    const Json& after = change.at("after");
    if (before.is_null()) {
      text += fmt::format("+ {} {}\n", pointer, ShortText(after));
    } else if (after.is_null()) {
      text += fmt::format("- {} {}\n", pointer, ShortText(before));
    } else {
      text += fmt::format("~ {} {} -> {}\n", pointer, ShortText(before), ShortText(after));
    }
  }
  return text.empty() ? "no change\n" : text;
}

std::string FormatEffect(const Json& aEffect)
{
  std::string text = FormatChanges(aEffect.at("changes"));
  for (const std::string& table :
       { FormatMoves(aEffect.at("moves")), FormatBudgets(aEffect.at("budgets")) }) {
    text += table.empty() ? "" : "\n" + table;
  }
  text += fmt::format("\n{} VMs change pool, {} have to drain\n",
                      aEffect.at("moves").size(),
                      aEffect.at("drains").size());
  return text;
}

std::string FormatDiagnostics(const Json& aOutcome)
{
  std::string text;
  for (const Json& conflict : aOutcome.at("conflicts")) {
    text += fmt::format("conflict: {}: base {}, requested {}, current {}\n",
                        conflict.at("pointer").get<std::string>(),
                        ShortText(conflict.at("base")),
                        ShortText(conflict.at("mine")),
                        ShortText(conflict.at("theirs")));
  }
  text += FormatFieldErrors(aOutcome.at("errors"), "error");
  text += FormatFieldErrors(aOutcome.at("warnings"), "warning");
  return text;
}

} // namespace mustardtray
