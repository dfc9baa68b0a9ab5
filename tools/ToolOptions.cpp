#include "ToolOptions.h"

#include "Address.h"
#include "Log.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fmt/core.h>

namespace sequoiastep::tools {

ToolOptions::ToolOptions(int aCount, char** aArguments)
{
  for (int i = 1; i < aCount; ++i) {
    const std::string argument = aArguments[i];
    const std::size_t equals = argument.find('=');
    if (equals == std::string::npos) {
      fmt::print(stderr, "'{}': options have the form NAME=VALUE\n", argument);
      std::exit(2); // NOLINT(concurrency-mt-unsafe): no other thread runs yet.
    }
    m_values[argument.substr(0, equals)] = argument.substr(equals + 1);
  }
}

std::string
ToolOptions::Text(const std::string& aName, std::string_view aDefault) const
{
  const auto found = m_values.find(aName);
  return found == m_values.end() ? std::string(aDefault) : found->second;
}

Milliseconds
ToolOptions::Number(const std::string& aName, Milliseconds aDefault) const
{
  const auto found = m_values.find(aName);
  return found == m_values.end() ? aDefault : std::stoll(found->second);
}

net::HttpResponse
MakeErrorResponse(net::http::status aStatus, const std::string& aReason)
{
  return net::MakeResponse(aStatus, "text/plain", aReason);
}

int
ServeUntilSignal(net::asio::io_context& aContext,
                 net::HttpServer& aServer,
                 const std::string& aAddress,
                 std::string_view aRole)
{
  const bool listening = Handle(
    [&]() -> Result<bool> {
      BOOST_LEAF_AUTO(address, net::ParseAddress(aAddress));
      BOOST_LEAF_AUTO(endpoint, aServer.Listen(address));
      LogLine(LogLevel::Info, "listening")
        .Add("role", aRole)
        .Add("address", net::AddressText(endpoint));
      return true;
    },
    [](const Error& aError) {
      fmt::print(stderr, "{}\n", aError.m_message);
      return false;
    });
  if (!listening) {
    return 3;
  }
  net::asio::signal_set signals(aContext, SIGTERM, SIGINT);
  signals.async_wait([&](const net::error_code&, int) {
    aServer.CloseAll();
    aContext.stop();
  });
  aContext.run();
  return 0;
}

} // namespace sequoiastep::tools
