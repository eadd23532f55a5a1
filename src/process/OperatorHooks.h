#pragma once

/// Connects the operators' interface to the control plane.

#include "mustardtray/process/ConfigStore.h"
#include "mustardtray/process/OperatorInterface.h"
#include "process/ControlPlane.h"

namespace mustardtray {

/// The hooks run on the control thread. aControl and aStore must outlive them.
OperatorHooks MakeOperatorHooks(ControlPlane& aControl, ConfigStore<PlatformClient>& aStore);

/// The clocks and timers of this process for a ConfigStore.
ConfigStoreClock MakeConfigStoreClock(asio::io_context& aContext);

} // namespace mustardtray
