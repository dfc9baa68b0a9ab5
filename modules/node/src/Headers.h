/// @file
/// Which HTTP headers travel from end to end.
#pragma once

#include "AsioTypes.h"
#include "Messages_generated.h"

#include <memory>
#include <string_view>
#include <vector>

namespace sequoiastep::node {

using HeaderList = std::vector<std::unique_ptr<wire::HeaderT>>;

/// @return true if the header is of one connection only (RFC 9110, 7.6.1) or set by each hop anew.
bool
IsHopHeader(std::string_view aName);

/// @return the headers of aFields that travel on.
HeaderList
EndToEndHeaders(const net::http::fields& aFields);

/// @return the request that aCall carries, as it came: method, target, headers and body.
net::HttpRequest
RequestFrom(const wire::CallT& aCall);

/// @return the response that aAnswer carries.
net::HttpResponse
ResponseFrom(const wire::AnswerT& aAnswer);

} // namespace sequoiastep::node
