#pragma once

/// Checks of services that need no VM list: paths, ports, queues and floors.

#include "mustardtray/process/JsonReader.h"
#include "mustardtray/version/Configuration.h"

namespace mustardtray {

void CheckServices(const Configuration& aConfiguration, FieldErrors& aErrors);

} // namespace mustardtray
