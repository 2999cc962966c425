#pragma once

#include "laburnum/contract/settings.hpp"
#include "laburnum/http/server.hpp"
#include "laburnum/kernel/loop.hpp"
#include "laburnum/standins/engine_core.hpp"
#include "laburnum/standins/platform_core.hpp"
#include "laburnum/standins/rank_group.hpp"
#include "laburnum/standins/request_target.hpp"

#include <map>
#include <memory>
#include <string>

namespace laburnum::standins {

/// The platform's object API by HTTP; faults at `POST /standin/faults`,
/// counts at `GET /standin/counts`, the instance list's truth at
/// `PUT /standin/instances/NAME`. Thread safety: loop thread.
class PlatformServer
{
public:
  PlatformServer(Loop& aLoop, contract::Address aAddress);

  contract::Address address() const { return mServer.address(); }
  PlatformCore& core() { return mCore; }

private:
  asio::awaitable<void> handle(http::Session& aSession, http::Request aRequest);
  asio::awaitable<http::Response> answer(http::Request aRequest, bool& aLose);
  http::Response write(const http::Request& aRequest,
                       std::string aKind,
                       std::string aName,
                       bool& aLose);
  asio::awaitable<http::Response> watch(const RequestTarget& aTarget);
  http::Response control(const http::Request& aRequest);

  Loop& mLoop;
  contract::Limits mLimits;
  PlatformCore mCore;
  std::map<std::string, bool> mInstances;
  asio::steady_timer mChanged;
  http::Server mServer;
};

/// What a model engine holds and how it takes orders to load another.
struct EngineModels
{
  std::vector<std::string> held; ///< "name@version"; empty: takes no orders.
  Duration loadTime = seconds(1);
  bool fencing = false; ///< Refuses orders with an old fencing number.
};

/// The ranks of a group that one engine runs; no group by default.
struct EnginePart
{
  std::shared_ptr<RankGroup> group;
  experts::Rank firstRank = 0;
  std::size_t ranks = 0;
};

/// A model engine by HTTP: completions with and without a stream, `GET
/// /v1/models`, `POST /orders/load`, and `/group` for ranks. A prompt with
/// "[len=N]" gives N tokens, one with "[crash]" ends the process. Thread
/// safety: loop thread.
class EngineServer
{
public:
  EngineServer(Loop& aLoop,
               contract::Address aAddress,
               EngineOptions aOptions,
               EngineModels aModels = {},
               EnginePart aPart = {});

  contract::Address address() const { return mServer.address(); }

private:
  struct Waiter;
  asio::awaitable<void> handle(http::Session& aSession, http::Request aRequest);
  asio::awaitable<void> complete(http::Session& aSession,
                                 const http::Request& aRequest);
  asio::awaitable<void> runSteps();
  http::Response models() const;
  http::Response order(const http::Request& aRequest);
  asio::awaitable<void> load(std::string aModel);
  http::Response groupCall(const http::Request& aRequest);

  Loop& mLoop;
  contract::Limits mLimits;
  EngineCore mCore;
  EngineModels mModels;
  bool mTakesOrders;
  EnginePart mPart;
  std::map<std::string, std::uint64_t> mFences; ///< Highest by duty.
  std::uint64_t mLoads = 0;
  std::uint64_t mOldOrders = 0;
  std::uint64_t mNext = 0;
  bool mStepping = false;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> mWaiters;
  std::uint64_t mRuns = 0;
  std::uint64_t mCancels = 0;
  http::Server mServer;
};

/// A plain service by HTTP that counts each run, in all and by body, at
/// `GET /standin/counts`. A query `delay_ms=N` delays the answer and
/// `crash=1` closes the connection after the run. Thread safety: loop thread.
class ServiceServer
{
public:
  ServiceServer(Loop& aLoop, contract::Address aAddress);

  contract::Address address() const { return mServer.address(); }

private:
  asio::awaitable<void> handle(http::Session& aSession, http::Request aRequest);

  Loop& mLoop;
  contract::Limits mLimits;
  std::map<std::string, std::uint64_t> mRunsByBody;
  std::uint64_t mRuns = 0;
  http::Server mServer;
};

} // namespace laburnum::standins
