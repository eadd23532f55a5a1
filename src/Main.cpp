#include "client/Command.h"

int main(int aCount, char** aArguments)
{
  // `serve` is dispatched here, before the client's commands.
  return mustardtray::RunClient(aCount - 1, aArguments + 1);
}
