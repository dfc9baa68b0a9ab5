/// @file
/// Blocking HTTP client for requests of the command line to a node.
#pragma once

#include "Error.h"

#include <string>
#include <string_view>

namespace sequoiastep::cli {

/// An HTTP request to a node: GET, or POST if m_post is set.
struct AdminRequest
{
  /// IP:PORT of the node.
  std::string m_address;
  bool m_post = false;
  /// Path and query.
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

/// Sends a request and blocks until the whole response is there.
/// @return the response, BadSettings for a malformed address, or Unreachable if none arrives.
Result<AdminResponse>
SendAdminRequest(const AdminRequest& aRequest);

} // namespace sequoiastep::cli
