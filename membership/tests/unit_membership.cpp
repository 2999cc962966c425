#include "laburnum/membership/membership.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::membership;

namespace {

Member
member(const std::string& aName,
       std::uint64_t aIncarnation = 1,
       MemberState aState = MemberState::Alive)
{
  return { .name = aName,
           .incarnation = aIncarnation,
           .state = aState,
           .domain = "a",
           .address = { .port = 1 } };
}

/// A daemon that knows two others and has open links to both.
struct MembershipFixture
{
  Membership self{ member("self"), {}, 1 };
  Instant now{ seconds(100) };

  MembershipFixture()
  {
    self.onMembers("", { member("one"), member("two") }, now);
    self.tick(now);
    self.onLinkUp("one", now);
    self.onLinkUp("two", now);
  }

  /// Advances the time while only "two" sends messages; returns the actions.
  Membership::Actions advanceWithOneSilent(Duration aDuration)
  {
    Membership::Actions actions;
    for (const Instant end = now + aDuration; now < end;
         now += milliseconds(100)) {
      self.onTraffic("two", now);
      for (auto& action : self.tick(now)) {
        actions.push_back(std::move(action));
      }
    }
    return actions;
  }

  template<class Action>
  static std::size_t count(const Membership::Actions& aActions)
  {
    std::size_t matches = 0;
    for (const auto& action : aActions) {
      matches += std::holds_alternative<Action>(action) ? 1 : 0;
    }
    return matches;
  }
};

} // namespace

TEST_CASE("Overlay: 1200 daemons form a connected graph with mutual links and "
          "bounded degree")
{
  std::vector<OverlayNode> nodes;
  for (int i = 0; i < 1200; ++i) {
    nodes.push_back(
      { .name = "d" + std::to_string(i), .domain = std::to_string(i % 8) });
  }
  std::map<std::string, std::set<std::string>> graph;
  std::size_t watchers = 0;
  for (const OverlayNode& node : nodes) {
    const auto neighbours = overlayNeighbours(node, nodes);
    graph[node.name] = { neighbours.begin(), neighbours.end() };
    watchers += isWatcher(node, nodes) ? 1 : 0;
    CHECK(neighbours.size() <= 8 + 2 * 7);
  }
  CHECK(watchers == 16);
  std::set<std::string> reached{ "d0" };
  std::vector<std::string> pending{ "d0" };
  while (!pending.empty()) {
    const std::string name = pending.back();
    pending.pop_back();
    for (const std::string& next : graph[name]) {
      REQUIRE(graph[next].contains(name));
      if (reached.insert(next).second) {
        pending.push_back(next);
      }
    }
  }
  CHECK(reached.size() == 1200);
}

TEST_CASE_METHOD(MembershipFixture,
                 "Membership: a silent neighbour is probed indirectly before "
                 "it is declared dead")
{
  const auto beforeSuspicion = advanceWithOneSilent(milliseconds(1500));
  CHECK(count<RequestProbe>(beforeSuspicion) == 0);
  const auto suspected = advanceWithOneSilent(milliseconds(500));
  CHECK(count<RequestProbe>(suspected) >= 1);
  CHECK(self.find("one")->state == MemberState::Alive);

  SECTION("it stays alive if another member reaches it")
  {
    self.onProbeResult("one", true, now);
    advanceWithOneSilent(milliseconds(700));
    CHECK(self.find("one")->state == MemberState::Alive);
  }
  SECTION("it is declared dead if unreachable, and neighbours are notified")
  {
    const auto timedOut = advanceWithOneSilent(seconds(1));
    CHECK(self.find("one")->state == MemberState::Dead);
    CHECK(count<SendMembers>(timedOut) == 1);
  }
}

TEST_CASE_METHOD(MembershipFixture,
                 "Membership: a daemon refutes a report of its own death")
{
  const auto actions =
    self.onMembers("one", { member("self", 1, MemberState::Dead) }, now);
  CHECK(count<SendMembers>(actions) == 2);
  CHECK(self.self().revision == 1);
  CHECK(self.self().state == MemberState::Alive);
}

TEST_CASE_METHOD(MembershipFixture,
                 "Membership: the newest record wins in any order of arrival")
{
  struct Row
  {
    Member update;
    MemberState expected;
  };
  Member refuted = member("one");
  refuted.revision = 1;
  const Row rows[]{
    { member("one", 1, MemberState::Dead), MemberState::Dead },
    { member("one", 1, MemberState::Alive), MemberState::Dead },
    { refuted, MemberState::Alive },
    { member("one", 1, MemberState::Dead), MemberState::Alive },
    { member("one", 2, MemberState::Alive), MemberState::Alive },
    { member("one", 1, MemberState::Leaving), MemberState::Alive },
    { member("one", 2, MemberState::Leaving), MemberState::Leaving },
  };
  for (const Row& row : rows) {
    self.onMembers("two", { row.update }, now);
    CHECK(self.find("one")->state == row.expected);
  }
}

TEST_CASE_METHOD(
  MembershipFixture,
  "Membership: differing tables are repaired through digest buckets")
{
  Membership peer(member("one"), {}, 2);
  peer.onMembers("", { member("three") }, now);
  CHECK(self.onDigest("one", self.digest(), now).empty());
  // Updates may be in flight, so no repair starts before the next heartbeat.
  CHECK(self.onDigest("one", peer.digest(), now).empty());
  now += milliseconds(500);
  const auto request = self.onDigest("one", peer.digest(), now);
  REQUIRE(count<SendDigest>(request) == 1);
  CHECK(self.onDigest("one", peer.digest(), now).empty());
  for (const auto& action : peer.onDigestBuckets(
         "self", std::get<SendDigest>(request.front()).buckets)) {
    self.onMembers("one", std::get<SendMembers>(action).members, now);
  }
  CHECK(self.find("three") != nullptr);
}

TEST_CASE_METHOD(MembershipFixture,
                 "Membership: a daemon listed as leaving is notified itself")
{
  CHECK(count<MemberChanged>(self.onListedLeaving("self", now)) == 1);
  CHECK(count<MemberChanged>(self.onListedLeaving("one", now)) == 1);
  CHECK(self.find("one")->state == MemberState::Leaving);
  CHECK(self.onListedLeaving("unknown", now).empty());
}

TEST_CASE_METHOD(MembershipFixture,
                 "Membership: tables that keep changing are still repaired")
{
  std::size_t repairs = 0;
  for (std::uint64_t digest = 1; digest <= 40; ++digest) {
    repairs += count<SendDigest>(self.onDigest("one", digest, now));
    now += milliseconds(500);
  }
  CHECK(repairs > 0);
  CHECK(repairs < 10);
}

TEST_CASE_METHOD(
  MembershipFixture,
  "Membership: a change of state alone is forwarded as a state-only update")
{
  self.onLinkUp("two", now);
  Member one = *self.find("one");
  one.state = MemberState::Leaving;
  const auto forwardedRecord = [&](const Member& aUpdate) {
    const auto actions = self.onMembers("three", { aUpdate }, now);
    for (const auto& action : actions) {
      if (const auto* message = std::get_if<SendMembers>(&action)) {
        return message->members.at(0);
      }
    }
    return Member();
  };
  const Member stateUpdate = forwardedRecord(one);
  CHECK(stateUpdate.stateOnly);
  CHECK(stateUpdate.state == MemberState::Leaving);
  CHECK(self.find("one")->offers == one.offers);

  SECTION("a changed offer is forwarded as a full record")
  {
    one.revision += 1;
    one.offers = { "model/x@1" };
    CHECK_FALSE(forwardedRecord(one).stateOnly);
  }
  SECTION("an update of another incarnation or an unknown member is ignored")
  {
    Member other = stateUpdate;
    other.incarnation += 1;
    CHECK(self.onMembers("three", { other }, now).empty());
    other.name = "nobody";
    CHECK(self.onMembers("three", { other }, now).empty());
  }
  SECTION("an update merges like the full record")
  {
    Member next = stateUpdate;
    next.revision += 1;
    next.state = MemberState::Alive;
    CHECK(forwardedRecord(next).stateOnly);
    CHECK(self.find("one")->state == MemberState::Alive);
    CHECK(self.find("one")->address == one.address);
  }
}
