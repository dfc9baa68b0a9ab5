#include "Acceptor.h"

#include "Address.h"

#include <fmt/core.h>

namespace sequoiastep::net {

Result<tcp::endpoint>
OpenAcceptor(tcp::acceptor& aAcceptor, const tcp::endpoint& aEndpoint)
{
  error_code error;
  aAcceptor.open(aEndpoint.protocol(), error);
  if (!error) {
    aAcceptor.set_option(tcp::acceptor::reuse_address(true), error);
    aAcceptor.bind(aEndpoint, error);
  }
  if (!error) {
    aAcceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Fail(ErrorKind::PortInUse,
                fmt::format("can't listen on {} ({}); free the port or choose another",
                            AddressText(aEndpoint),
                            error.message()));
  }
  return aAcceptor.local_endpoint();
}

} // namespace sequoiastep::net
