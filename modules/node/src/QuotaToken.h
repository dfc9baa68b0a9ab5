/// @file
/// A token of a workspace's quota that a request holds.
#pragma once

#include "Clock.h"

#include <string>

namespace sequoiastep::node {

/// Returned with QuotaClient::Refund if the request reached no target.
struct QuotaToken
{
  std::string m_workspace;
  Instant m_expiresAt;
};

} // namespace sequoiastep::node
