#pragma once

/// Connects the operators' interface with the control plane.

#include "mustardtray/process/ConfigStore.h"
#include "mustardtray/process/OperatorInterface.h"
#include "process/ControlPlane.h"

namespace mustardtray {

/// The hooks call aControl and aStore, which must outlive them, on the control thread.
OperatorHooks MakeOperatorHooks(ControlPlane& aControl, ConfigStore<PlatformClient>& aStore);

/// The clocks of this process for a ConfigStore.
ConfigStoreClock MakeConfigStoreClock(asio::io_context& aContext);

} // namespace mustardtray
