#include "Commands.h"

int
main(int aCount, char** aArguments)
{
  return static_cast<int>(
    sequoiastep::cli::RunCommand(aCount, const_cast<const char**>(aArguments)));
}
