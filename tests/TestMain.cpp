#define DOCTEST_CONFIG_IMPLEMENT
#include "Log.h"

#include <doctest/doctest.h>

int
main(int aCount, char** aArguments)
{
  // Logging is off: tests cause failures on purpose, and their log lines would hide the results.
  sequoiastep::SetLogLevel(
    static_cast<sequoiastep::LogLevel>(static_cast<int>(sequoiastep::LogLevel::Error) + 1));
  doctest::Context context(aCount, aArguments);
  return context.run();
}
