/// @file
/// Calls that bear an idempotency key issued by a node: claims, repeats and remembered answers.
#pragma once

#include "AsioTypes.h"
#include "IssuedKeys.h"

#include <functional>
#include <memory>
#include <string>

namespace sequoiastep::node {

/// Runs on the calls thread only.
class KeyedCalls
{
public:
  /// Runs the request as if it bore no key; it must never be run a second time by itself.
  using RunCall = std::function<net::Awaitable<net::HttpResponse>(net::HttpRequest)>;

  /// @param aContext the calls thread's context.
  /// @param aNode the issuing node.
  /// @param aIncarnation that node's incarnation.
  KeyedCalls(net::asio::io_context& aContext,
             std::string aNode,
             std::uint64_t aIncarnation,
             idempotency::KeyTableOptions aOptions,
             RunCall aRunCall);

  /// Answers POST /.sequoiastep/v1/keys.
  net::HttpResponse Issue(const net::HttpRequest& aRequest);
  /// @return true if this node, in this incarnation, issued aKey.
  bool IsOwn(const idempotency::IssuedKey& aKey) const;
  /// Runs or answers a request whose key this node issued. What was started runs on even if its
  /// caller leaves, so that a repeat gets the answer.
  net::Awaitable<net::HttpResponse> Handle(idempotency::IssuedKey aKey, net::HttpRequest aRequest);
  /// @return keys that are claimed and remembered.
  std::size_t Claims() const;

private:
  struct Started;

  net::Awaitable<void> RunClaimed(std::uint64_t aSerial,
                                  net::HttpRequest aRequest,
                                  std::shared_ptr<Started> aStarted);
  void Settle(std::uint64_t aSerial, const net::HttpResponse& aResponse);

  net::asio::io_context& m_context;
  idempotency::KeyTable m_table;
  RunCall m_runCall;
};

} // namespace sequoiastep::node
