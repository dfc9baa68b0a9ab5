/// @file
/// Aliases for the Asio and Beast types that the networked modules use.
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>

namespace sequoiastep::net {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

template<typename T>
using Awaitable = asio::awaitable<T>;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/// Completion token: suspends the coroutine and returns the error code instead of throwing it.
constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

} // namespace sequoiastep::net
