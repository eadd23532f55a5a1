#include <string_view>

#include "client/Command.h"
#include "process/ServeCommand.h"

int main(int aCount, char** aArguments)
{
  const std::string_view command = aCount > 1 ? aArguments[1] : "";
  if (command == "serve") {
    return mustardtray::RunServe(aCount - 1, aArguments + 1);
  }
  return mustardtray::RunClient(aCount - 1, aArguments + 1);
}
