#include <iostream>
#include <string_view>

#include "process/ServeCommand.h"

int main(int aCount, char** aArguments)
{
  const std::string_view command = aCount > 1 ? aArguments[1] : "";
  if (command == "serve") {
    return mustardtray::RunServe(aCount - 1, aArguments + 1);
  }
  std::cerr << "usage: mustardtray serve --settings FILE\n";
  return 2;
}
