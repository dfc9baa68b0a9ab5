/// @file
/// Typed errors, carried by Boost.LEAF results, whose messages say how to fix the problem.
#pragma once

#include <boost/leaf.hpp>
#include <string>
#include <string_view>
#include <utility>

namespace sequoiastep {

/// The category of an error, for decisions in code.
enum class ErrorKind
{
  BadSettings,
  BadDocument,
  BadPublication,
  BadFrame,
  BadRequest,
  TooLarge,
  NewerFormat,
  Unreachable,
  PortInUse,
  Refused,
};

/// @return the name of aKind in logs and responses.
std::string_view
NameOf(ErrorKind aKind);

/// An error: its kind, for decisions in code, and a message that tells the reader how to fix it.
struct Error
{
  ErrorKind m_kind = ErrorKind::BadRequest;
  std::string m_message;
};

/// The result of a synchronous operation that can fail with an Error.
/// The Error is only kept while a Handle() call is on the stack of the same thread.
template<typename T>
using Result = boost::leaf::result<T>;

/// @return a failed result that carries the given error.
inline boost::leaf::error_id
Fail(ErrorKind aKind, std::string aMessage)
{
  return boost::leaf::new_error(Error{ .m_kind = aKind, .m_message = std::move(aMessage) });
}

/// Runs aStep, which returns Result<T>. If it fails, calls aOnError, which returns T, with the
/// Error.
/// @return the value of aStep or of aOnError.
template<typename Step, typename OnError>
auto
Handle(Step&& aStep, OnError&& aOnError)
{
  return boost::leaf::try_handle_all(
    std::forward<Step>(aStep),
    [&](const Error& aError) { return aOnError(aError); },
    [&] {
      return aOnError(
        Error{ ErrorKind::BadRequest, "unexpected error; report it with the log lines around it" });
    });
}

} // namespace sequoiastep
