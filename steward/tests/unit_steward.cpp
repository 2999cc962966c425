#include "laburnum/steward/steward.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::steward;

namespace {

/// An engine that is the only rank of its group and keeps a step held until it
/// is released.
class HeldEngine : public Engine
{
public:
  std::string group{ "a" };
  std::size_t rank = 0;
  std::size_t size = 1;
  std::uint64_t requests = 0;
  experts::RankState state{ .epoch = 1, .step = 5, .held = 6 };
  std::function<void()> released;

  asio::awaitable<Result<EngineReport>> report() override
  {
    EngineReport report;
    report.group = group;
    report.rank = rank;
    report.size = size;
    report.requests = requests;
    report.isOpen = true;
    report.bornMs = 1;
    report.state = state;
    co_return report;
  }
  asio::awaitable<Result<EngineCounts>> counts() override
  {
    co_return EngineCounts{ .epoch = 1, .counts = { 1, 1 } };
  }
  asio::awaitable<Result<EngineHolding>> holding() override
  {
    co_return EngineHolding{ .version = state.inForce,
                             .experts = { { 0, 1 } } };
  }
  asio::awaitable<Result<bool>> order(std::uint64_t,
                                      experts::EngineOrder aOrder) override
  {
    if (const auto* prepare = std::get_if<experts::PrepareOrder>(&aOrder)) {
      state.prepared = prepare->version;
    } else if (std::holds_alternative<experts::ReleaseOrder>(aOrder)) {
      state.held.reset();
      released();
    }
    co_return true;
  }
};

/// A steward that keeps the map of its own engine's group.
struct StewardFixture
{
  /// A hold is taken over within three seconds; a bound for a test that fails.
  static constexpr Duration kPatience = seconds(15);

  Loop loop;
  contract::Settings settings;
  HeldEngine engine;
  std::optional<Steward> steward;
  bool isReleased = false;

  StewardFixture()
  {
    settings.control = { .host = "127.0.0.1", .port = 0 };
    settings.server.address = { .host = "127.0.0.1", .port = 9 };
    engine.released = [this] {
      isReleased = true;
      loop.stop();
    };
    steward.emplace(loop, settings, engine);
    steward->start();
    steward->setEngines({ settings.server.address }, {});
  }

  /// Pre: aBefore is short beside what the steward waits for at its start.
  void run(Duration aBefore, std::function<void()> aChange)
  {
    loop.spawn([](StewardFixture* aSelf,
                  Duration aTime,
                  std::function<void()> aThen) -> asio::awaitable<void> {
      co_await aSelf->loop.sleep(aTime);
      aThen();
      co_await aSelf->loop.sleep(kPatience);
      aSelf->loop.stop();
    }(this, aBefore, std::move(aChange)));
    loop.run();
  }
};

} // namespace

TEST_CASE("steward_startsBesideAHeldStep_releasesIt")
{
  StewardFixture fixture;
  fixture.run(milliseconds(1), [] {});
  CHECK(fixture.isReleased);
}

TEST_CASE("steward_ownGroupChangesItsName_stillKnowsItsOwnExperts")
{
  // What the own rank told was lost with the former group's plans, and nothing
  // told it again: the held step would never be released.
  StewardFixture fixture;
  fixture.run(milliseconds(500),
              [&] { fixture.engine.group = std::string("b"); });
  CHECK(fixture.isReleased);
}

namespace {

/// An engine beside another steward, as seen from afar.
class EngineAfar : public Engine
{
public:
  explicit EngineAfar(HeldEngine& aEngine)
    : mEngine(aEngine)
  {
  }
  asio::awaitable<Result<EngineReport>> report() override
  {
    return mEngine.report();
  }
  asio::awaitable<Result<EngineCounts>> counts() override
  {
    return mEngine.counts();
  }
  asio::awaitable<Result<EngineHolding>> holding() override
  {
    return mEngine.holding();
  }
  asio::awaitable<Result<bool>> order(std::uint64_t aEpoch,
                                      experts::EngineOrder aOrder) override
  {
    return mEngine.order(aEpoch, std::move(aOrder));
  }

private:
  HeldEngine& mEngine;
};

} // namespace

TEST_CASE("steward_holderDeadAndMapUnknown_deputyReleasesTheStep")
{
  // All stewards were killed while a step was held, and the keeper's stays
  // away: the deputy knows no map and has to read what the ranks hold.
  Loop loop;
  contract::Settings settings;
  settings.control = { .host = "127.0.0.1", .port = 0 };
  settings.server.address = { .host = "127.0.0.2", .port = 9 };
  const contract::Address keeper{ .host = "127.0.0.1", .port = 9 };
  HeldEngine holder;
  HeldEngine own;
  own.rank = 1;
  own.state.held.reset();
  bool isReleased = false;
  for (HeldEngine* engine : { &holder, &own }) {
    engine->size = 2;
    engine->requests = 3;
    engine->state.inForce = 4;
    engine->released = [&] {
      isReleased = true;
      loop.stop();
    };
  }
  Steward steward(loop, settings, own, [&](const contract::Address& aAddress) {
    return std::make_unique<EngineAfar>(aAddress == keeper ? holder : own);
  });
  steward.start();
  steward.setEngines({ keeper, settings.server.address }, {});
  loop.spawn([](Loop& aLoop) -> asio::awaitable<void> {
    co_await aLoop.sleep(StewardFixture::kPatience);
    aLoop.stop();
  }(loop));
  loop.run();
  CHECK(isReleased);
  CHECK(holder.state.prepared > 4U);
  CHECK(own.state.prepared > 4U);
}
