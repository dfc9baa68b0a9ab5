/// @file
/// HTTP headers that are forwarded end to end, and conversion of HTTP messages to and from calls.
#pragma once

#include "AsioTypes.h"
#include "Messages_generated.h"

#include <memory>
#include <string_view>
#include <vector>

namespace sequoiastep::node {

using HeaderList = std::vector<std::unique_ptr<wire::HeaderT>>;

/// @return true if the header concerns one connection only (RFC 9110, 7.6.1) or is set anew by each
/// hop, so that it is not forwarded.
bool
IsHopByHopHeader(std::string_view aName);

/// @return the headers of aFields to forward.
HeaderList
EndToEndHeaders(const net::http::fields& aFields);

/// @return the request that aCall carries: its method, target, headers and body, unchanged.
net::HttpRequest
RequestFrom(const wire::CallT& aCall);

/// @return the response that aAnswer carries.
net::HttpResponse
ResponseFrom(const wire::AnswerT& aAnswer);

} // namespace sequoiastep::node
