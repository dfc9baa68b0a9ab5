#include "../src/Headers.h"

#include <doctest/doctest.h>
#include <string>

namespace sequoiastep::node {

namespace {

std::string
NamesOf(const HeaderList& aHeaders)
{
  std::string names;
  for (const auto& header : aHeaders) {
    names += header->name + ' ';
  }
  return names;
}

TEST_CASE("hop-by-hop headers are not forwarded, including those listed in the Connection header")
{
  net::http::fields fields;
  fields.set("Connection", "keep-alive, X-Session");
  fields.set("Keep-Alive", "timeout=5");
  fields.set("x-session", "1");
  fields.set("X-Other", "2");
  CHECK(NamesOf(EndToEndHeaders(fields)) == "X-Other ");
}

TEST_CASE("a caller's headers for deadline, target instance and caller service are not forwarded")
{
  net::http::fields fields;
  fields.set("Sequoiastep-Deadline-Ms", "100");
  fields.set("Sequoiastep-Target-Instance", "i-1");
  fields.set("Sequoiastep-Caller-Service", "another");
  fields.set("Sequoiastep-Request-Id", "r1");
  CHECK(NamesOf(EndToEndHeaders(fields)) == "Sequoiastep-Request-Id ");
}

} // namespace

} // namespace sequoiastep::node
