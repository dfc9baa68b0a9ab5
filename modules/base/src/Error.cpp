#include "Error.h"

#include "NameTable.h"

namespace sequoiastep {

namespace {

constexpr std::array<NameRow<ErrorKind>, 10> kErrorNames{ {
  { ErrorKind::BadSettings, "bad_settings" },
  { ErrorKind::BadDocument, "bad_document" },
  { ErrorKind::BadPublication, "bad_publication" },
  { ErrorKind::BadFrame, "bad_frame" },
  { ErrorKind::BadRequest, "bad_request" },
  { ErrorKind::TooLarge, "too_large" },
  { ErrorKind::NewerFormat, "newer_format" },
  { ErrorKind::Unreachable, "unreachable" },
  { ErrorKind::PortInUse, "port_in_use" },
  { ErrorKind::Refused, "refused" },
} };

} // namespace

std::string_view
NameOf(ErrorKind aKind)
{
  return NameIn(kErrorNames, aKind);
}

} // namespace sequoiastep
