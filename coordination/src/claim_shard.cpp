#include "laburnum/coordination/claim_shard.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace laburnum::coordination {
namespace {

namespace json = boost::json;

json::object
toJson(const Claim& aClaim)
{
  json::object object{ { "nonce", aClaim.nonce },
                       { "request", aClaim.requestHash },
                       { "at", aClaim.acquiredAtSeconds } };
  if (aClaim.attempt.entryIncarnation != 0) {
    object["holder"] = aClaim.holder;
    object["attempt"] =
      json::object{ { "agent", aClaim.attempt.agent },
                    { "agent_run", aClaim.attempt.agentIncarnation },
                    { "entry_run", aClaim.attempt.entryIncarnation },
                    { "number", aClaim.attempt.number } };
  }
  if (aClaim.outcome) {
    object["outcome"] =
      json::object{ { "status", aClaim.outcome->status },
                    { "type", aClaim.outcome->contentType },
                    { "body", aClaim.outcome->body },
                    { "verdict", name(aClaim.outcome->verdict) },
                    { "whole", aClaim.outcome->bodyComplete } };
  }
  return object;
}

/// Throws if the claim is malformed.
Claim
parseClaim(const json::object& aObject)
{
  Claim claim;
  claim.nonce = aObject.at("nonce").to_number<std::uint64_t>();
  claim.requestHash = aObject.at("request").to_number<std::uint64_t>();
  claim.acquiredAtSeconds = aObject.at("at").to_number<std::int64_t>();
  if (const json::value* found = aObject.if_contains("attempt")) {
    claim.holder = aObject.at("holder").to_number<std::uint64_t>();
    const json::object& attempt = found->as_object();
    claim.attempt = {
      .agent = std::string(attempt.at("agent").as_string()),
      .agentIncarnation = attempt.at("agent_run").to_number<std::uint64_t>(),
      .entryIncarnation = attempt.at("entry_run").to_number<std::uint64_t>(),
      .number = attempt.at("number").to_number<std::uint64_t>()
    };
  }
  if (const json::value* found = aObject.if_contains("outcome")) {
    const json::object& outcome = found->as_object();
    claim.outcome = RecordedOutcome{
      .status = outcome.at("status").to_number<unsigned>(),
      .contentType = std::string(outcome.at("type").as_string()),
      .body = std::string(outcome.at("body").as_string()),
      .verdict = valueIn(kVerdictNames, outcome.at("verdict").as_string())
                   .value_or(Verdict::MayHaveRun),
      // Older entries wrote no such field and stored every body in full.
      .bodyComplete =
        !outcome.contains("whole") || outcome.at("whole").as_bool()
    };
  }
  return claim;
}

/// Parses a shard's value; returns nothing if it is malformed.
std::optional<std::map<std::string, Claim, std::less<>>>
parseClaims(std::string_view aValue)
{
  std::map<std::string, Claim, std::less<>> claims;
  try {
    const json::value value = json::parse(aValue);
    for (const auto& field : value.as_object().at("claims").as_object()) {
      claims.emplace(std::string(field.key()),
                     parseClaim(field.value().as_object()));
    }
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return claims;
}

std::uint64_t
tokenOf(const ClaimOperation& aOperation)
{
  return std::visit([](const auto& aOne) { return aOne.token; }, aOperation);
}

} // namespace

ClaimShard::ClaimShard(ClaimShardOptions aOptions)
  : mOptions(aOptions)
{
}

std::vector<ClaimAction>
ClaimShard::submit(ClaimOperation aOperation, std::int64_t aWallSeconds)
{
  mWallSeconds = std::max(mWallSeconds, aWallSeconds);
  mQueue.push_back(std::move(aOperation));
  return mInFlight ? Actions{} : processQueue();
}

Claim*
ClaimShard::findHeldClaim(const std::string& aKey, std::uint64_t aNonce)
{
  const auto found = mNextClaims.find(aKey);
  return found == mNextClaims.end() || found->second.nonce != aNonce
           ? nullptr
           : &found->second;
}

ClaimShard::Effect
ClaimShard::applyOne(const AcquireClaim& aAcquire)
{
  if (mNextClaims.contains(aAcquire.key)) {
    return findHeldClaim(aAcquire.key, aAcquire.nonce) ? Effect::None
                                                       : Effect::Rejected;
  }
  mNextClaims[aAcquire.key] = Claim{ .nonce = aAcquire.nonce,
                                     .requestHash = aAcquire.requestHash,
                                     .holder = aAcquire.holder,
                                     .acquiredAtSeconds = mWallSeconds,
                                     .attempt = aAcquire.attempt };
  return Effect::Changed;
}

ClaimShard::Effect
ClaimShard::applyOne(const TakeOverClaim& aTakeOver)
{
  if (findHeldClaim(aTakeOver.key, aTakeOver.nonce) != nullptr) {
    return Effect::None;
  }
  Claim* claim = findHeldClaim(aTakeOver.key, aTakeOver.previousNonce);
  if (claim == nullptr || claim->outcome ||
      claim->attempt != aTakeOver.attempt) {
    return Effect::Rejected;
  }
  claim->nonce = aTakeOver.nonce;
  claim->holder = aTakeOver.holder;
  return Effect::Changed;
}

ClaimShard::Effect
ClaimShard::applyOne(const SetClaimAttempt& aSetAttempt)
{
  Claim* claim = findHeldClaim(aSetAttempt.key, aSetAttempt.nonce);
  if (claim == nullptr) {
    return Effect::Rejected;
  }
  const bool unchanged = claim->attempt == aSetAttempt.attempt;
  claim->attempt = aSetAttempt.attempt;
  return unchanged ? Effect::None : Effect::Changed;
}

ClaimShard::Effect
ClaimShard::applyOne(const RecordOutcome& aRecord)
{
  Claim* claim = findHeldClaim(aRecord.key, aRecord.nonce);
  if (claim == nullptr) {
    return Effect::Rejected;
  }
  const bool alreadyRecorded = claim->outcome.has_value();
  claim->outcome = aRecord.outcome;
  // The attempt is of no use once there is an outcome, and the size of the
  // shard is limited.
  claim->attempt = {};
  claim->holder = 0;
  return alreadyRecorded ? Effect::None : Effect::Changed;
}

ClaimShard::Effect
ClaimShard::applyOne(const ReleaseClaim& aRelease)
{
  if (findHeldClaim(aRelease.key, aRelease.nonce) == nullptr) {
    return Effect::None;
  }
  mNextClaims.erase(mNextClaims.find(aRelease.key));
  return Effect::Changed;
}

ClaimShard::Effect
ClaimShard::apply(const ClaimOperation& aOperation)
{
  return std::visit([this](const auto& aOne) { return applyOne(aOne); },
                    aOperation);
}

std::vector<ClaimAction>
ClaimShard::processQueue()
{
  if (mQueue.empty() && mBatch.empty()) {
    return {};
  }
  if (!mIsLoaded) {
    mInFlight = true;
    return { ReadShard{} };
  }
  removeExpired();
  Actions actions;
  bool changed = false;
  mNextClaims = mClaims;
  std::vector<ClaimOperation> batch = std::move(mBatch);
  batch.insert(batch.end(),
               std::make_move_iterator(mQueue.begin()),
               std::make_move_iterator(mQueue.end()));
  mQueue.clear();
  mBatch.clear();
  for (ClaimOperation& operation : batch) {
    const Effect effect = apply(operation);
    changed = changed || effect == Effect::Changed;
    if (effect != Effect::Rejected) {
      mBatch.push_back(std::move(operation));
      continue;
    }
    const std::string& key = std::visit(
      [](const auto& aOne) -> const auto& { return aOne.key; }, operation);
    const auto found = mNextClaims.find(key);
    actions.push_back(ClaimResult{
      .token = tokenOf(operation),
      .status = ClaimStatus::Held,
      .claim = found == mNextClaims.end() ? Claim{} : found->second });
  }
  if (!changed) {
    // The whole batch is already stored: a write whose reply was lost took
    // effect.
    for (const ClaimOperation& operation : mBatch) {
      actions.push_back(ClaimResult{ .token = tokenOf(operation),
                                     .status = ClaimStatus::Granted });
    }
    mBatch.clear();
    return actions;
  }
  std::string value = serializeNextClaims();
  if (value.size() > mOptions.maxValueBytes) {
    // A full shard rejects new operations rather than drop claims before the
    // end of their retention.
    for (const ClaimOperation& operation : mBatch) {
      actions.push_back(ClaimResult{ .token = tokenOf(operation) });
    }
    mBatch.clear();
    return actions;
  }
  mInFlight = true;
  actions.push_back(
    WriteShard{ .expectedVersion = mVersion, .value = std::move(value) });
  return actions;
}

std::vector<ClaimAction>
ClaimShard::onWritten(std::uint64_t aVersion)
{
  mInFlight = false;
  mVersion = aVersion;
  mClaims = std::move(mNextClaims);
  Actions actions;
  for (const ClaimOperation& operation : mBatch) {
    actions.push_back(ClaimResult{ .token = tokenOf(operation),
                                   .status = ClaimStatus::Granted });
  }
  mBatch.clear();
  for (ClaimAction& action : processQueue()) {
    actions.push_back(std::move(action));
  }
  return actions;
}

std::vector<ClaimAction>
ClaimShard::onConflict(std::uint64_t aVersion, std::string_view aValue)
{
  return onRead(aVersion, aValue);
}

std::vector<ClaimAction>
ClaimShard::onReplyLost()
{
  // The write may have taken effect, so the present value is unknown.
  mIsLoaded = false;
  mInFlight = true;
  return { ReadShard{} };
}

std::vector<ClaimAction>
ClaimShard::onRead(std::uint64_t aVersion, std::string_view aValue)
{
  mInFlight = false;
  return load(aVersion, aValue) ? processQueue() : onReadFailed();
}

std::vector<ClaimAction>
ClaimShard::onReadFailed()
{
  mInFlight = false;
  mIsLoaded = false;
  return failAll();
}

std::vector<ClaimAction>
ClaimShard::failAll()
{
  Actions actions;
  for (const ClaimOperation& operation : mBatch) {
    actions.push_back(ClaimResult{ .token = tokenOf(operation) });
  }
  for (const ClaimOperation& operation : mQueue) {
    actions.push_back(ClaimResult{ .token = tokenOf(operation) });
  }
  mBatch.clear();
  mQueue.clear();
  return actions;
}

/// Returns false if the value is malformed: a claim that can't be parsed may
/// have been granted, so no operation may be decided.
bool
ClaimShard::load(std::uint64_t aVersion, std::string_view aValue)
{
  mIsLoaded = true;
  if (aVersion < mVersion) {
    return true;
  }
  std::map<std::string, Claim, std::less<>> claims;
  if (aVersion > 0 && !aValue.empty()) {
    auto parsed = parseClaims(aValue);
    if (!parsed) {
      return false;
    }
    claims = std::move(*parsed);
  }
  mVersion = aVersion;
  mClaims = std::move(claims);
  return true;
}

std::string
ClaimShard::serializeNextClaims() const
{
  json::object claims;
  for (const auto& [key, claim] : mNextClaims) {
    claims[key] = toJson(claim);
  }
  return json::serialize(json::object{ { "claims", std::move(claims) } });
}

void
ClaimShard::removeExpired()
{
  std::erase_if(mClaims, [&](const auto& aKeyAndClaim) {
    return aKeyAndClaim.second.acquiredAtSeconds + mOptions.retentionSeconds <
           mWallSeconds;
  });
}

} // namespace laburnum::coordination
