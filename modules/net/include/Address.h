/// @file
/// IP addresses with ports, as settings write them: IP:PORT, IPv6 in brackets.
#pragma once

#include "Error.h"

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

namespace sequoiastep::net {

/// @return the endpoint written as aText, or BadSettings.
Result<boost::asio::ip::tcp::endpoint>
ParseAddress(std::string_view aText);

/// @return aEndpoint as text that ParseAddress reads.
std::string
AddressText(const boost::asio::ip::tcp::endpoint& aEndpoint);

} // namespace sequoiastep::net
