#pragma once

/// Checks services without a VM list: paths, ports, queues, queue floors and budgets.

#include "mustardtray/process/JsonReader.h"
#include "mustardtray/version/Configuration.h"

namespace mustardtray {

void CheckServices(const Configuration& aConfiguration, FieldErrors& aErrors);

} // namespace mustardtray
