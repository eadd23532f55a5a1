#include <string_view>

#include "client/Command.h"
#include "node/NodeCommand.h"
#include "process/ServeCommand.h"

int main(int aCount, char** aArguments)
{
  const bool isServe = aCount > 1 && std::string_view(aArguments[1]) == "serve";
  if (isServe) {
    return mustardtray::RunServe(aCount - 1, aArguments + 1);
  }
  const bool isNode = aCount > 1 && std::string_view(aArguments[1]) == "node";
  if (isNode) {
    return mustardtray::node::RunNodeCommand(aCount - 1, aArguments + 1);
  }
  return mustardtray::RunClient(aCount - 1, aArguments + 1);
}
