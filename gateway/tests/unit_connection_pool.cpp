#include "gateway_fixture.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::gateway;

TEST_CASE("connection_pool_manyGateways_idleConnectionsStayBelowTheServersCap")
{
  constexpr std::size_t kMaxConnections = 120;
  constexpr std::size_t kGateways = 18;
  GatewayFixture fixture({ { response(200, kSignatureField, "") } });
  ConnectionPool& pool = fixture.gateway.context().pool;
  pool.setGateways(kGateways);
  const ServerRecord server = fixture.records().front();
  // Requests that may run once only: each on a new connection that is kept.
  for (int i = 0; i < 20; ++i) {
    fixture.request("POST", "/once/x");
    const auto connection = pool.acquire(server, kMaxConnections, true);
    pool.release(server.id, connection);
    CHECK((pool.idleCount(server.id) + 1) * kGateways <= kMaxConnections);
  }
}
