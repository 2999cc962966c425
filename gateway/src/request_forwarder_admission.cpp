#include "laburnum/gateway/request_forwarder.hpp"

#include "end_to_end.hpp"
#include "laburnum/gateway/fingerprint.hpp"
#include "laburnum/gateway/prompt_parts.hpp"
#include "laburnum/gateway/return_times.hpp"
#include "laburnum/kernel/hash.hpp"
#include "laburnum/kernel/log.hpp"
#include "leading_number.hpp"

#include <algorithm>

namespace laburnum::gateway {
namespace {

std::string_view
pathWithoutQuery(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

} // namespace

RequestForwarder::RequestForwarder(Context& aContext,
                                   ClientConnection& aClient,
                                   http::Request aRequest)
  : mContext(aContext)
  , mClient(&aClient)
  , mRequest(std::move(aRequest))
  , mConfiguration(aContext.configuration)
  , mStartedAt(aContext.loop.now())
  , mDeadline(mStartedAt)
  , mTimer(aContext.loop.context())
  , mAttemptTimer(aContext.loop.context())
{
}

bool
RequestForwarder::admit()
{
  if (!mConfiguration) {
    refuse(503,
           { .error = Error::NotReady, .retryAfter = kNoServerRetryAfter });
    return false;
  }
  if (!chooseRoute() || !authenticate() || !setDeadline() || !chooseService() ||
      !checkQuarantine()) {
    return false;
  }
  parseDemand();
  if (!checkGroupAdmission()) {
    return false;
  }
  startTimer(mDeadline - mStartedAt, false);
  return true;
}

bool
RequestForwarder::chooseRoute()
{
  std::string host(mRequest[bhttp::field::host]);
  host = host.substr(0, host.find(':'));
  mRoute = mConfiguration->match(host, pathWithoutQuery(mRequest.target()));
  if (mRoute == nullptr) {
    refuse(404, { .error = Error::UnknownPath });
    return false;
  }
  mUrgency = mRoute->priority;
  return true;
}

bool
RequestForwarder::authenticate()
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
  if (account->second.priority >= 0) {
    mUrgency.account = account->second.priority;
  }
  return true;
}

bool
RequestForwarder::setDeadline()
{
  Duration timeout = mRoute->timeout;
  if (const auto requested =
        leadingNumber<std::int64_t>(mRequest[mContext.names.deadlineMs])) {
    timeout = std::min<Duration>(
      timeout, milliseconds(std::max<std::int64_t>(0, *requested)));
  }
  mDeadline = mStartedAt + timeout;
  if (mContext.drainPolicy &&
      !mContext.drainPolicy->accepts(mStartedAt, mDeadline)) {
    refuse(
      503,
      { .error = Error::ServerLeaving, .retryAfter = kStoppingRetryAfter });
    return false;
  }
  return true;
}

bool
RequestForwarder::chooseService()
{
  double totalWeight = 0;
  for (const RouteTarget& target : mRoute->targets) {
    totalWeight += target.weight;
  }
  double remainder = mContext.random.unit() * totalWeight;
  for (const RouteTarget& target : mRoute->targets) {
    remainder -= target.weight;
    if (remainder < 0 || &target == &mRoute->targets.back()) {
      mService = mConfiguration->service(target.service);
      break;
    }
  }
  if (mService == nullptr) {
    refuse(503,
           { .error = Error::NoServer, .retryAfter = kNoServerRetryAfter });
    return false;
  }
  mRetryController.emplace(mRoute->isRetryable(), mRoute->maxAttempts);
  mContext.retryBudget(mService->name).recordRequest(mStartedAt);
  return true;
}

bool
RequestForwarder::checkQuarantine()
{
  mContent.fingerprint = mix(
    hash64(mAccount), mix(hash64(mRequest.target()), hash64(mRequest.body())));
  mContent.parts = sharedPromptParts(mRequest[mContext.names.promptParts],
                                     hash64(mService->name));
  if (isQuarantined()) {
    apply(RejectNotExecuted{ .error = Error::Quarantined });
    return false;
  }
  return true;
}

bool
RequestForwarder::isQuarantined() const
{
  const auto refused =
    mContext.crashSuspicions.refusedContent(mContent, mContext.loop.now());
  if (!refused) {
    return false;
  }
  log(
    LogLevel::Info,
    "request_quarantined",
    { { "request", mRequestId },
      { "fingerprint", fingerprintText(mContent.fingerprint) },
      { "part",
        *refused == mContent.fingerprint ? "" : fingerprintText(*refused) } });
  return true;
}

void
RequestForwarder::parseDemand()
{
  mDemand.isGeneration = mService->runtime.has_value();
  if (mDemand.isGeneration) {
    mDemand.group.service = mService->name;
  }
  mDemand.gapObjective = mRoute->gapObjective;
  mDemand.firstEventObjective = mRoute->latencyObjective;
  mDemand.promptTokens = static_cast<double>(
    leadingNumber<std::int64_t>(mRequest[mContext.names.promptTokens])
      .value_or(0));
  if (const auto last =
        leadingNumber<std::int64_t>(mRequest[mContext.names.lastEventId])) {
    mEventSequence = EventSequence(static_cast<std::uint64_t>(*last));
  }
}

bool
RequestForwarder::checkGroupAdmission()
{
  if (!mDemand.isGeneration || !isStream()) {
    return true;
  }
  const bool isSurging = mContext.surgeDetector.record(mAccount, mStartedAt);
  mLimitShare = isSurging ? kSurgeLimitShare : 1;
  auto groups = mContext.directory.partition(
    mService->name, mContext.servers.readyServers(mService->name, mStartedAt));
  if (groups.empty()) {
    for (const GroupKey& key : mContext.directory.groups(mService->name)) {
      groups.push_back({ .key = key });
    }
  }
  if (groups.empty()) {
    groups.push_back({ .key = mDemand.group });
  }
  UrgencyShares& shares = mContext.urgencyShares[mService->name];
  shares.recordArrival(mUrgency, mStartedAt);
  auto refusal = refusalOfAll(groupOptions(groups, mStartedAt));
  if (!refusal && isHeldBack(groups)) {
    refusal = Refusal{ .cause = RefusalCause::HeldBack };
  }
  if (refusal) {
    mRefusalCause = nameIn(kRefusalCauseNames, refusal->cause);
    if (mContext.directory.groups(mService->name).size() > 1) {
      refusal->retryAfter =
        returnAfter({ .timeLeft = mDeadline - mStartedAt,
                      .isStalled = refusal->cause == RefusalCause::Stalled },
                    mContext.random.unit());
    }
    refuse(503,
           { .error = Error::QueueFull, .retryAfter = refusal->retryAfter });
  } else {
    shares.recordAdmission(mUrgency, mStartedAt);
  }
  ++mContext.metrics.counter(
    "laburnum_gateway_streams_total{priority=\"" + priorityText() +
    "\",decision=\"" + (refusal ? std::string(mRefusalCause) : "admitted") +
    "\"}");
  return !refusal;
}

} // namespace laburnum::gateway
