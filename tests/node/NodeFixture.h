#pragma once

/// The clients and the shared state of a node, for tests of src/node against stand-ins.

#include <string>

#include "node/NodeContext.h"

namespace mustardtray::node {

struct NodeFixture
{
  NodeFixture(asio::io_context& aIo, TimerService& aTimers, platform::NodeSettings aSettings)
    : m_settings(std::move(aSettings))
    , m_http(aIo, {}, m_settings.m_linkBytesPerSecond)
    , m_store(m_http, m_settings.m_store)
    , m_minionClient(m_http, {})
    , m_machineClient(m_http, m_settings.m_machineApi)
    , m_context{ aIo,
                 aTimers,
                 m_http,
                 m_store,
                 m_minionClient,
                 m_machineClient,
                 m_settings,
                 m_settings.m_nodeName,
                 {},
                 {},
                 {},
                 {} }
  {
    m_context.m_deployment.m_version = 1;
  }

  platform::NodeSettings m_settings;
  HttpClient m_http;
  platform::StoreClient m_store;
  platform::MinionClient m_minionClient;
  platform::MachineClient m_machineClient;
  NodeContext m_context;
};

} // namespace mustardtray::node
