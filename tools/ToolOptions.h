/// @file
/// What the stand-ins and the load tool share: NAME=VALUE options and a server loop.
#pragma once

#include "AsioTypes.h"
#include "Clock.h"
#include "HttpServer.h"

#include <map>
#include <string>
#include <string_view>

namespace sequoiastep::tools {

/// Options written NAME=VALUE; the tools are for tests and need no more.
class ToolOptions
{
public:
  ToolOptions(int aCount, char** aArguments);
  /// @return the text of an option, or aDefault.
  std::string Text(const std::string& aName, std::string_view aDefault) const;
  /// @return the number of an option, or aDefault.
  Milliseconds Number(const std::string& aName, Milliseconds aDefault) const;

private:
  std::map<std::string, std::string> m_values;
};

/// @return the answer of a stand-in to a request that it can't read.
net::HttpResponse
BadRequest(net::http::status aStatus, const std::string& aReason);

/// Listens on aAddress, prints `listening role=... address=...`, and serves until SIGTERM or
/// SIGINT.
/// @return the exit code.
int
ServeUntilSignal(net::asio::io_context& aContext,
                 net::HttpServer& aServer,
                 const std::string& aAddress,
                 std::string_view aRole);

} // namespace sequoiastep::tools
