/// @file
/// IP addresses with ports in the text form of the settings: IP:PORT, with IPv6 in brackets.
#pragma once

#include "Error.h"

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

namespace sequoiastep::net {

/// @return the endpoint that aText denotes, or BadSettings.
Result<boost::asio::ip::tcp::endpoint>
ParseAddress(std::string_view aText);

/// @return aEndpoint in the text form that ParseAddress accepts.
std::string
AddressText(const boost::asio::ip::tcp::endpoint& aEndpoint);

} // namespace sequoiastep::net
