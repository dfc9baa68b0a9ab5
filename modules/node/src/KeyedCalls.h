/// @file
/// Calls that bear an idempotency key issued by a node: claims, repeats and remembered answers.
#pragma once

#include "AsioTypes.h"
#include "ClaimIndex.h"
#include "IssuedKeys.h"

#include <array>
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
  /// Runs or answers a request whose key the log gave to this node.
  /// @param aStream claim stream of the key.
  /// @param aOffset offset of the claim that won.
  net::Awaitable<net::HttpResponse> HandleClaimed(std::uint32_t aStream,
                                                  std::uint64_t aOffset,
                                                  net::HttpRequest aRequest);
  /// @return keys that are claimed and remembered.
  std::size_t Claims() const;

private:
  struct Started;

  net::Awaitable<net::HttpResponse> RunOnce(idempotency::KeyTable& aTable,
                                            std::uint64_t aSerial,
                                            idempotency::ClaimResult aClaim,
                                            net::HttpRequest aRequest);
  net::Awaitable<void> RunClaimed(idempotency::KeyTable& aTable,
                                  std::uint64_t aSerial,
                                  net::HttpRequest aRequest,
                                  std::shared_ptr<Started> aStarted);

  net::asio::io_context& m_context;
  idempotency::KeyTable m_table;
  /// Of keys that callers made up, by claim stream; serials are offsets there.
  std::array<idempotency::KeyTable, idempotency::kClaimStreams> m_claimed;
  RunCall m_runCall;
};

} // namespace sequoiastep::node
