/// @file
/// Decides by its status code what a response is to its request (RFC 9110, 15).
#pragma once

#include <cstddef>
#include <cstdint>

namespace sequoiastep::net {

/// What a response is to the request that it follows.
enum class ResponseKind
{
  /// Precedes the final response to the same request.
  Interim,
  /// Answers the request.
  Final,
  /// No response in HTTP, or 101, which ends the use of HTTP on its connection and answers only
  /// requests that ask for another protocol. Nothing that it says counts, and the request may have
  /// been executed.
  Invalid,
};

/// @param aStatus status code of a response.
/// @return what the response is. Codes without a registered meaning count as their class does.
ResponseKind
KindOfResponse(std::uint32_t aStatus);

/// @return true if a response with this status code and a body of this size can be the final one
/// to a request: its code is one of a final response, and it has no body where the code rules that
/// out (RFC 9110, 6.4.1).
bool
IsFinalResponse(std::uint32_t aStatus, std::size_t aBodyBytes);

} // namespace sequoiastep::net
