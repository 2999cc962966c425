#include "laburnum/gateway/forwarding.hpp"

#include "end_to_end.hpp"
#include "laburnum/kernel/hash.hpp"
#include "leading_number.hpp"

#include <algorithm>

namespace laburnum::gateway {
namespace {

std::string_view
pathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

} // namespace

Forwarding::Forwarding(Context& aContext,
                       CallerConnection& aCaller,
                       http::Request aRequest)
  : mContext(aContext)
  , mCaller(&aCaller)
  , mRequest(std::move(aRequest))
  , mConfiguration(aContext.configuration)
  , mBegan(aContext.loop.now())
  , mDeadline(mBegan)
  , mTimer(aContext.loop.context())
  , mAttemptTimer(aContext.loop.context())
{
}

bool
Forwarding::admit()
{
  if (!mConfiguration) {
    refuse(503, { .error = Error::NotReady, .retryAfter = kNoServerWait });
    return false;
  }
  if (!chooseRoute() || !authenticate() || !setDeadline() || !chooseService() ||
      !isTrusted()) {
    return false;
  }
  readDemand();
  if (!hasRoom()) {
    return false;
  }
  if (isStream()) {
    mCountsStream = true;
    const int others = mContext.streams[mService->name]++;
    mContext.admissions[mService->name].begun(others, mBegan);
  }
  startTimer(mDeadline - mBegan, false);
  return true;
}

bool
Forwarding::chooseRoute()
{
  std::string host(mRequest[bhttp::field::host]);
  host = host.substr(0, host.find(':'));
  mRoute = mConfiguration->match(host, pathOf(mRequest.target()));
  if (mRoute == nullptr) {
    refuse(404, { .error = Error::UnknownPath });
  }
  return mRoute != nullptr;
}

bool
Forwarding::authenticate()
{
  if (!mConfiguration->hasAccounts || mRoute->isPublic) {
    return true;
  }
  constexpr std::string_view kScheme = "Bearer ";
  const std::string_view value = mRequest[bhttp::field::authorization];
  const auto account = value.starts_with(kScheme)
                         ? mConfiguration->accountsByKey.find(
                             std::string(value.substr(kScheme.size())))
                         : mConfiguration->accountsByKey.end();
  if (account == mConfiguration->accountsByKey.end()) {
    refuse(401, { .error = Error::UnknownKey });
    return false;
  }
  mAccount = account->second.name;
  return true;
}

bool
Forwarding::setDeadline()
{
  Duration time = mRoute->timeout;
  if (const auto stated =
        leadingNumber<std::int64_t>(mRequest[mContext.names.deadlineMs])) {
    time = std::min<Duration>(time,
                              milliseconds(std::max<std::int64_t>(0, *stated)));
  }
  mDeadline = mBegan + time;
  if (mContext.draining && !mContext.draining->takes(mBegan, mDeadline)) {
    refuse(503, { .error = Error::ServerLeaving, .retryAfter = kLeavingWait });
    return false;
  }
  return true;
}

bool
Forwarding::chooseService()
{
  double weights = 0;
  for (const RouteTarget& target : mRoute->targets) {
    weights += target.weight;
  }
  double pick = mContext.random.unit() * weights;
  for (const RouteTarget& target : mRoute->targets) {
    pick -= target.weight;
    if (pick < 0 || &target == &mRoute->targets.back()) {
      mService = mConfiguration->service(target.service);
      break;
    }
  }
  if (mService == nullptr) {
    refuse(503, { .error = Error::NoServer, .retryAfter = kNoServerWait });
    return false;
  }
  mCourse.emplace(mRoute->mayRepeat(), mRoute->maxAttempts);
  mContext.allowance(mService->name).request(mBegan);
  return true;
}

bool
Forwarding::isTrusted()
{
  mFingerprint = mix(hash64(mAccount),
                     mix(hash64(mRequest.target()), hash64(mRequest.body())));
  if (mContext.quarantine.suspicion(mFingerprint, mBegan) ==
      policy::Suspicion::Refused) {
    refuse(503, { .error = Error::Quarantined, .retryAfter = seconds(5) });
    return false;
  }
  return true;
}

void
Forwarding::readDemand()
{
  mDemand.isGeneration = mService->runtime.has_value();
  mDemand.group = mDemand.isGeneration ? mService->name : "";
  mDemand.promptTokens = static_cast<double>(
    leadingNumber<std::int64_t>(mRequest[mContext.names.promptTokens])
      .value_or(0));
  if (const auto last =
        leadingNumber<std::int64_t>(mRequest[mContext.names.lastEventId])) {
    mSequence = EventSequence(static_cast<std::uint64_t>(*last));
  }
}

bool
Forwarding::hasRoom()
{
  if (!mDemand.isGeneration || !isStream()) {
    return true;
  }
  const auto refusal = mContext.admissions[mService->name].refusal(
    mContext.streams[mService->name],
    mRoute->gapObjective,
    emptyPass(),
    mBegan);
  if (refusal) {
    mRefusedFor = nameIn(kRefusalCauseNames, refusal->cause);
    refuse(503, { .error = Error::QueueFull, .retryAfter = refusal->wait });
  }
  return !refusal;
}

} // namespace laburnum::gateway
