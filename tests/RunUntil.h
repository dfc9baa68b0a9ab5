/// @file
/// Drives an io_context in a test until something has happened.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>

namespace sequoiastep {

/// Runs ready handlers until aDone returns true.
/// @param aMaxIterations bound on the handlers run; an iteration without one lasts a millisecond.
/// @return false if aDone never returned true.
template<typename Done>
bool
RunUntil(boost::asio::io_context& aContext, Done aDone, int aMaxIterations = 20'000)
{
  for (int iteration = 0; iteration < aMaxIterations; ++iteration) {
    if (aDone()) {
      return true;
    }
    aContext.restart();
    aContext.run_one_for(std::chrono::milliseconds(1));
  }
  return false;
}

} // namespace sequoiastep
