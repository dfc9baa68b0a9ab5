// What responses of the store count for that are none.
#include "LogClient.h"
#include "../../net/tests/ScriptedServer.h"
#include "Address.h"

#include <doctest/doctest.h>
#include <future>
#include <memory>
#include <string>

using namespace sequoiastep;
using namespace sequoiastep::platform;

namespace {

constexpr const char* kInvalid =
  "HTTP/1.1 000 Odd\r\nStore-Era: 9\r\nContent-Length: 14\r\n\r\n{\"offset\": 12}";

// A client of a store that gives the same answer to every request.
struct BrokenStore
{
  explicit BrokenStore(const std::string& aAnswer)
    : m_server(m_context, aAnswer)
    , m_client({ .m_address = net::AddressText(m_server.m_acceptor.local_endpoint()) })
  {
  }

  // Makes one request and returns its reply.
  template<typename Reply, typename Request>
  Reply Ask(Request aRequest)
  {
    const auto promise = std::make_shared<std::promise<Reply>>();
    std::future<Reply> reply = promise->get_future();
    aRequest([promise](Reply aReply) { promise->set_value(std::move(aReply)); });
    REQUIRE(RunUntil(m_context, [&] {
      return reply.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
    }));
    return reply.get();
  }

  net::asio::io_context m_context{ 1 };
  net::ScriptedServer m_server;
  LogClient m_client;
};

ReadReply
Read(BrokenStore& aStore)
{
  return aStore.Ask<ReadReply>(
    [&](const LogClient::OnRead& aHandler) { aStore.m_client.Read("t", 0, 0, aHandler); });
}

NewestReply
ReadNewest(BrokenStore& aStore)
{
  return aStore.Ask<NewestReply>(
    [&](const LogClient::OnNewest& aHandler) { aStore.m_client.ReadNewest("t", aHandler); });
}

AppendReply
Append(BrokenStore& aStore)
{
  return aStore.Ask<AppendReply>(
    [&](const LogClient::OnAppend& aHandler) { aStore.m_client.Append("t", "record", aHandler); });
}

} // namespace

// Guards against an era that an invalid response names: nodes would take the store for restored.
TEST_CASE("an invalid response of the store says nothing, not even its era")
{
  BrokenStore store(kInvalid);
  const ReadReply read = Read(store);
  CHECK(read.m_status == ReadStatus::Failed);
  CHECK(read.m_era == 0);
  const NewestReply newest = ReadNewest(store);
  CHECK_FALSE(newest.m_ok);
  CHECK(newest.m_era == 0);
  const AppendReply append = Append(store);
  CHECK(append.m_status == AppendStatus::Unknown);
  CHECK(append.m_era == 0);
}
