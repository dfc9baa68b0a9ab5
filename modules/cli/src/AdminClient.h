/// @file
/// One blocking HTTP request to a node, for the command line.
#pragma once

#include "Error.h"

#include <string>
#include <string_view>

namespace sequoiastep::cli {

/// What to send.
struct AdminRequest
{
  /// IP:PORT of the node.
  std::string m_address;
  bool m_post = false;
  std::string m_target;
  std::string m_body;
  /// Bearer token; not sent if empty.
  std::string m_token;
};

struct AdminResponse
{
  unsigned m_status = 0;
  std::string m_body;
};

/// Sends a request and waits for the whole response.
/// @return the response, BadSettings for a wrong address, or Unreachable.
Result<AdminResponse>
SendAdminRequest(const AdminRequest& aRequest);

} // namespace sequoiastep::cli
