#include "laburnum/ctl/change.hpp"
#include "laburnum/ctl/commands.hpp"
#include "laburnum/ctl/json_diff.hpp"
#include "laburnum/standins/servers.hpp"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::ctl;

namespace {

/// A platform stand-in and a client of it on one loop.
struct ChangeFixture
{
  Loop loop;
  standins::PlatformServer platform{ loop, {} };
  ::laburnum::coordination::ObjectClient client{ loop, { platform.address() } };

  template<class Task>
  auto wait(Task aTask)
  {
    using Value = typename Task::value_type;
    std::optional<Value> value;
    loop.spawn([](Loop& aLoop,
                  Task aInner,
                  std::optional<Value>& aValue) -> asio::awaitable<void> {
      aValue = co_await std::move(aInner);
      aLoop.stop();
    }(loop, std::move(aTask), value));
    loop.run();
    loop.context().restart();
    return *value;
  }

  auto change(const char* aValue, std::optional<std::uint64_t> aBase)
  {
    return wait(makeChange(loop,
                           client,
                           { .kind = "contract",
                             .name = "garden",
                             .value = boost::json::parse(aValue),
                             .base = aBase,
                             .who = "ana" }));
  }
};

} // namespace

TEST_CASE("Diff, nested documents, names each path")
{
  const auto changes = diff(boost::json::parse(R"({"a":1,"b":{"c":2,"d":3}})"),
                            boost::json::parse(R"({"a":1,"b":{"c":4},"e":5})"));
  CHECK(print(changes) ==
        "  b.c: 2 -> 4\n  b.d: 3 -> (absent)\n  e: (absent) -> 5\n");
}

TEST_CASE_METHOD(
  ChangeFixture,
  "MakeChange, two operators at once, tells the second what changed")
{
  const auto first = change(R"({"account":"garden","share":1})", std::nullopt);
  REQUIRE(first);
  REQUIRE(change(R"({"account":"garden","share":2})", first->version));
  const auto second =
    change(R"({"account":"garden","share":3})", first->version);
  REQUIRE_FALSE(second);
  CHECK(second.failure().error == Error::Conflict);
  CHECK_THAT(second.failure().detail, Catch::Contains("share: 2 -> 3"));
  CHECK(platform.core().read("contract", "garden")->value ==
        R"({"account":"garden","share":2})");
}

TEST_CASE_METHOD(ChangeFixture,
                 "MakeChange, no base for a present object, is refused")
{
  REQUIRE(change(R"({"account":"garden"})", std::nullopt));
  const auto again = change(R"({"account":"garden","share":3})", std::nullopt);
  REQUIRE_FALSE(again);
  CHECK_THAT(again.failure().detail, Catch::Contains("$version"));
}

TEST_CASE_METHOD(
  ChangeFixture,
  "MakeChange, lost replies, are settled and leave one audit record")
{
  platform.core().faults.loseReplies = 2;
  const auto result = change(R"({"account":"garden","share":4})", std::nullopt);
  REQUIRE(result);
  const auto records = platform.core().ofKind("audit");
  REQUIRE(records.size() == 1);
  CHECK_THAT(records.front().value, Catch::Contains("\"state\":\"accepted\""));
  CHECK_THAT(records.front().value, Catch::Contains("\"who\":\"ana\""));
}

TEST_CASE_METHOD(ChangeFixture,
                 "MakeChange, a platform outage, fails as unavailable")
{
  platform.core().faults.outage = true;
  const auto result = change(R"({"account":"garden"})", std::nullopt);
  REQUIRE_FALSE(result);
  CHECK(result.failure().error == Error::PlatformUnavailable);
}

TEST_CASE_METHOD(ChangeFixture, "RunCommand, wrong words, explains the usage")
{
  for (const auto& words :
       std::vector<std::vector<std::string>>{ {},
                                              { "contract" },
                                              { "tulip", "list" },
                                              { "contract", "water", "x" } }) {
    const auto result = wait(
      runCommand(loop, { .words = words, .platform = { platform.address() } }));
    CHECK(result.code == ExitCode::Usage);
    CHECK_THAT(result.error, Catch::Contains("usage:"));
  }
}
