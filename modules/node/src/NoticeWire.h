/// @file
/// Converts targets' notices from and to wire messages.
#pragma once

#include "Messages_generated.h"
#include "TargetNotice.h"

#include <memory>

namespace sequoiastep::node {

/// @return aStated as a wire message.
std::unique_ptr<wire::TargetNoticeT>
ToWire(const routing::StatedNotice& aStated);

/// @return the notice in a wire message.
routing::StatedNotice
FromWire(const wire::TargetNoticeT& aNotice);

} // namespace sequoiastep::node
