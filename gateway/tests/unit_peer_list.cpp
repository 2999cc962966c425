#include "laburnum/gateway/peer_list.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::gateway;

namespace {

Peer
peer(std::string aInstance, std::int64_t aRegisteredMs)
{
  return { .instance = std::move(aInstance),
           .address = { "10.0.0.1", 7340 },
           .registeredMs = aRegisteredMs };
}

std::string
issuerOf(const PeerList& aList, Instant aNow)
{
  const Peer* issuer = aList.issuer(aNow);
  return issuer == nullptr ? "" : issuer->instance;
}

constexpr Instant kNow = Instant{} + seconds(100);

} // namespace

TEST_CASE("peer_list_allGateways_chooseTheSameIssuer")
{
  for (const char* own : { "a", "b", "c" }) {
    PeerList list(own);
    list.replace({ peer("a", 20), peer("b", 10), peer("c", 10) });
    CHECK(issuerOf(list, kNow) == "b");
  }
}

TEST_CASE("peer_list_gatewayRestarted_doesNotTakeOver")
{
  PeerList list("c");
  list.replace({ peer("a", 10), peer("b", 20), peer("c", 30) });
  CHECK(issuerOf(list, kNow) == "a");
  list.replace({ peer("a", 40), peer("b", 20), peer("c", 30) });
  CHECK(issuerOf(list, kNow) == "b");
}

TEST_CASE("peer_list_issuerUnreachable_nextOneUntilItIsTriedAgain")
{
  PeerList list("b");
  list.replace({ peer("a", 10), peer("b", 20) });
  list.recordUnreachable(peer("a", 10), kNow);
  CHECK(issuerOf(list, kNow) == "b");
  CHECK(issuerOf(list, kNow + seconds(1)) == "a");
  list.recordUnreachable(peer("a", 10), kNow + seconds(1));
  CHECK(issuerOf(list, kNow + seconds(2)) == "b");
  list.recordReached(peer("a", 10));
  CHECK(issuerOf(list, kNow + seconds(2)) == "a");
}

TEST_CASE("peer_list_nobodyKnownOrReachable_hasNoIssuer")
{
  PeerList list("c");
  CHECK(issuerOf(list, kNow).empty());
  list.replace({ peer("a", 10) });
  list.recordUnreachable(peer("a", 10), kNow);
  CHECK(issuerOf(list, kNow).empty());
}

TEST_CASE("peer_list_ownGatewayStops_isNotTheIssuer")
{
  PeerList list("a");
  list.replace({ peer("a", 10), peer("b", 20) });
  list.setOwnLeaving();
  CHECK(issuerOf(list, kNow) == "b");
}

TEST_CASE("peer_list_gatewayDoesNotAnswerForLong_canBeRemoved")
{
  PeerList list("b");
  list.replace({ peer("a", 10), peer("b", 20) });
  Instant now = kNow;
  for (int failures = 0; failures < 8; ++failures) {
    CHECK(list.gonePeers().empty());
    list.recordUnreachable(peer("a", 10), now);
    now += seconds(16);
  }
  REQUIRE(list.gonePeers().size() == 1);
  CHECK(list.gonePeers().front().instance == "a");
}
