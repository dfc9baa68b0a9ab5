/// @file
/// Typed errors whose messages name the remedy, carried by Boost.LEAF results.
#pragma once

#include <boost/leaf.hpp>
#include <string>
#include <string_view>
#include <utility>

namespace sequoiastep {

/// What went wrong, as programs tell errors apart.
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

/// @return the name of aKind in logs and answers.
std::string_view
NameOf(ErrorKind aKind);

/// An error: its kind for programs and a message for people that says what to do.
struct Error
{
  ErrorKind m_kind = ErrorKind::BadRequest;
  std::string m_message;
};

/// The result of a synchronous step that can fail with an Error.
/// The Error is only kept while a Handle() call is on the stack of the same thread.
template<typename T>
using Result = boost::leaf::result<T>;

/// @return a failed result that carries the given error.
inline boost::leaf::error_id
Fail(ErrorKind aKind, std::string aMessage)
{
  return boost::leaf::new_error(Error{ .m_kind = aKind, .m_message = std::move(aMessage) });
}

/// Runs aStep, which returns Result<T>, and maps its Error by aOnError, which returns T.
/// @return the value of aStep, or what aOnError made of the Error.
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
