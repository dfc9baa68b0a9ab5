#define DOCTEST_CONFIG_IMPLEMENT
#include "Log.h"

#include <doctest/doctest.h>

int
main(int aCount, char** aArguments)
{
  // Tests cause failures on purpose; their log lines would hide the verdict.
  sequoiastep::SetLogLevel(
    static_cast<sequoiastep::LogLevel>(static_cast<int>(sequoiastep::LogLevel::Error) + 1));
  doctest::Context context(aCount, aArguments);
  return context.run();
}
