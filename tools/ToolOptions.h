/// @file
/// Shared by the stand-ins and the load tool: NAME=VALUE options and the server main loop.
#pragma once

#include "AsioTypes.h"
#include "Clock.h"
#include "HttpServer.h"

#include <map>
#include <string>
#include <string_view>

namespace sequoiastep::tools {

/// Command-line options of the form NAME=VALUE. Test tools need no more than this.
class ToolOptions
{
public:
  /// Parses the command line. Exits with code 2 if an argument has no '='.
  ToolOptions(int aCount, char** aArguments);
  /// @return the value of an option, or aDefault if it was not given.
  std::string Text(const std::string& aName, std::string_view aDefault) const;
  /// @return the value of an option as a number, or aDefault if it was not given.
  Milliseconds Number(const std::string& aName, Milliseconds aDefault) const;

private:
  std::map<std::string, std::string> m_values;
};

/// @return the response of a stand-in to a request that it can't parse.
net::HttpResponse
MakeErrorResponse(net::http::status aStatus, const std::string& aReason);

/// Listens on aAddress, logs `listening role=... address=...`, and serves until SIGTERM or SIGINT.
/// @return the exit code: 0 after a signal, 3 if it can't listen on aAddress.
int
ServeUntilSignal(net::asio::io_context& aContext,
                 net::HttpServer& aServer,
                 const std::string& aAddress,
                 std::string_view aRole);

} // namespace sequoiastep::tools
