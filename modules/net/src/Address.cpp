#include "Address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <fmt/core.h>

namespace sequoiastep::net {

namespace {

boost::leaf::error_id
InvalidAddress(std::string_view aText)
{
  return Fail(ErrorKind::BadSettings,
              fmt::format("'{}' is no address; write IP:PORT, for IPv6 [IP]:PORT", aText));
}

} // namespace

Result<boost::asio::ip::tcp::endpoint>
ParseAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return InvalidAddress(aText);
  }
  std::string_view host = aText.substr(0, colon);
  const std::string_view portText = aText.substr(colon + 1);
  if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const auto [end, parseError] =
    std::from_chars(portText.data(), portText.data() + portText.size(), port);
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(std::string(host), error);
  if (error || parseError != std::errc() || end != portText.data() + portText.size()) {
    return InvalidAddress(aText);
  }
  return boost::asio::ip::tcp::endpoint(address, port);
}

std::string
AddressText(const boost::asio::ip::tcp::endpoint& aEndpoint)
{
  const auto address = aEndpoint.address();
  return address.is_v6() ? fmt::format("[{}]:{}", address.to_string(), aEndpoint.port())
                         : fmt::format("{}:{}", address.to_string(), aEndpoint.port());
}

} // namespace sequoiastep::net
