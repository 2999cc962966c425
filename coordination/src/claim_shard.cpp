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
                       { "at", aClaim.takenAt } };
  if (aClaim.attempt.entry != 0) {
    object["holder"] = aClaim.holder;
    object["attempt"] =
      json::object{ { "agent", aClaim.attempt.agent },
                    { "agent_run", aClaim.attempt.agentIncarnation },
                    { "entry_run", aClaim.attempt.entry },
                    { "number", aClaim.attempt.number } };
  }
  if (aClaim.outcome) {
    object["outcome"] =
      json::object{ { "status", aClaim.outcome->status },
                    { "type", aClaim.outcome->contentType },
                    { "body", aClaim.outcome->body },
                    { "verdict", name(aClaim.outcome->verdict) },
                    { "whole", aClaim.outcome->whole } };
  }
  return object;
}

/// Throws on a faulty claim.
Claim
parseClaim(const json::object& aObject)
{
  Claim claim;
  claim.nonce = aObject.at("nonce").to_number<std::uint64_t>();
  claim.requestHash = aObject.at("request").to_number<std::uint64_t>();
  claim.takenAt = aObject.at("at").to_number<std::int64_t>();
  if (const json::value* found = aObject.if_contains("attempt")) {
    claim.holder = aObject.at("holder").to_number<std::uint64_t>();
    const json::object& attempt = found->as_object();
    claim.attempt = {
      .agent = std::string(attempt.at("agent").as_string()),
      .agentIncarnation = attempt.at("agent_run").to_number<std::uint64_t>(),
      .entry = attempt.at("entry_run").to_number<std::uint64_t>(),
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
      // Entries before this field kept every body.
      .whole = !outcome.contains("whole") || outcome.at("whole").as_bool()
    };
  }
  return claim;
}

/// The claims of a shard's value, or nothing if it is faulty.
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
  mNow = std::max(mNow, aWallSeconds);
  mPending.push_back(std::move(aOperation));
  return mInFlight ? Actions{} : advance();
}

Claim*
ClaimShard::held(const std::string& aKey, std::uint64_t aNonce)
{
  const auto found = mDraft.find(aKey);
  return found == mDraft.end() || found->second.nonce != aNonce
           ? nullptr
           : &found->second;
}

ClaimShard::Effect
ClaimShard::on(const TakeClaim& aTake)
{
  if (mDraft.contains(aTake.key)) {
    return held(aTake.key, aTake.nonce) ? Effect::None : Effect::Refused;
  }
  mDraft[aTake.key] = Claim{ .nonce = aTake.nonce,
                             .requestHash = aTake.requestHash,
                             .holder = aTake.holder,
                             .takenAt = mNow,
                             .attempt = aTake.attempt };
  return Effect::Changed;
}

ClaimShard::Effect
ClaimShard::on(const TakeOverClaim& aTake)
{
  if (held(aTake.key, aTake.nonce) != nullptr) {
    return Effect::None;
  }
  Claim* claim = held(aTake.key, aTake.from);
  if (claim == nullptr || claim->outcome || claim->attempt != aTake.attempt) {
    return Effect::Refused;
  }
  claim->nonce = aTake.nonce;
  claim->holder = aTake.holder;
  return Effect::Changed;
}

ClaimShard::Effect
ClaimShard::on(const MoveClaim& aMove)
{
  Claim* claim = held(aMove.key, aMove.nonce);
  if (claim == nullptr) {
    return Effect::Refused;
  }
  const bool same = claim->attempt == aMove.attempt;
  claim->attempt = aMove.attempt;
  return same ? Effect::None : Effect::Changed;
}

ClaimShard::Effect
ClaimShard::on(const RecordOutcome& aRecord)
{
  Claim* claim = held(aRecord.key, aRecord.nonce);
  if (claim == nullptr) {
    return Effect::Refused;
  }
  const bool known = claim->outcome.has_value();
  claim->outcome = aRecord.outcome;
  // Nobody asks after the attempt any more; the shard has to stay small.
  claim->attempt = {};
  claim->holder = 0;
  return known ? Effect::None : Effect::Changed;
}

ClaimShard::Effect
ClaimShard::on(const ReleaseClaim& aRelease)
{
  if (held(aRelease.key, aRelease.nonce) == nullptr) {
    return Effect::None;
  }
  mDraft.erase(mDraft.find(aRelease.key));
  return Effect::Changed;
}

ClaimShard::Effect
ClaimShard::evaluate(const ClaimOperation& aOperation)
{
  return std::visit([this](const auto& aOne) { return on(aOne); }, aOperation);
}

std::vector<ClaimAction>
ClaimShard::advance()
{
  if (mPending.empty() && mBatch.empty()) {
    return {};
  }
  if (!mKnown) {
    mInFlight = true;
    return { ReadShard{} };
  }
  dropOld();
  Actions actions;
  bool changed = false;
  mDraft = mClaims;
  std::vector<ClaimOperation> batch = std::move(mBatch);
  batch.insert(batch.end(),
               std::make_move_iterator(mPending.begin()),
               std::make_move_iterator(mPending.end()));
  mPending.clear();
  mBatch.clear();
  for (ClaimOperation& operation : batch) {
    const Effect effect = evaluate(operation);
    changed = changed || effect == Effect::Changed;
    if (effect != Effect::Refused) {
      mBatch.push_back(std::move(operation));
      continue;
    }
    const std::string& key = std::visit(
      [](const auto& aOne) -> const auto& { return aOne.key; }, operation);
    const auto found = mDraft.find(key);
    actions.push_back(
      AnswerClaim{ .token = tokenOf(operation),
                   .status = ClaimStatus::Held,
                   .claim = found == mDraft.end() ? Claim{} : found->second });
  }
  if (!changed) {
    // All that waits is already in the platform: a lost reply was settled.
    for (const ClaimOperation& operation : mBatch) {
      actions.push_back(AnswerClaim{ .token = tokenOf(operation),
                                     .status = ClaimStatus::Granted });
    }
    mBatch.clear();
    return actions;
  }
  std::string value = serialized();
  if (value.size() > mOptions.maxValueBytes) {
    // A full shard refuses new claims before it forgets old ones.
    for (const ClaimOperation& operation : mBatch) {
      actions.push_back(AnswerClaim{ .token = tokenOf(operation) });
    }
    mBatch.clear();
    return actions;
  }
  mInFlight = true;
  actions.push_back(
    WriteShard{ .expected = mVersion, .value = std::move(value) });
  return actions;
}

std::vector<ClaimAction>
ClaimShard::written(std::uint64_t aVersion)
{
  mInFlight = false;
  mVersion = aVersion;
  mClaims = std::move(mDraft);
  Actions actions;
  for (const ClaimOperation& operation : mBatch) {
    actions.push_back(AnswerClaim{ .token = tokenOf(operation),
                                   .status = ClaimStatus::Granted });
  }
  mBatch.clear();
  for (ClaimAction& action : advance()) {
    actions.push_back(std::move(action));
  }
  return actions;
}

std::vector<ClaimAction>
ClaimShard::conflicted(std::uint64_t aVersion, std::string_view aValue)
{
  return readBack(aVersion, aValue);
}

std::vector<ClaimAction>
ClaimShard::replyLost()
{
  // The write may have taken effect, so the present value is not known.
  mKnown = false;
  mInFlight = true;
  return { ReadShard{} };
}

std::vector<ClaimAction>
ClaimShard::readBack(std::uint64_t aVersion, std::string_view aValue)
{
  mInFlight = false;
  return adopt(aVersion, aValue) ? advance() : readFailed();
}

std::vector<ClaimAction>
ClaimShard::readFailed()
{
  mInFlight = false;
  mKnown = false;
  return refuseAll();
}

std::vector<ClaimAction>
ClaimShard::refuseAll()
{
  Actions actions;
  for (const ClaimOperation& operation : mBatch) {
    actions.push_back(AnswerClaim{ .token = tokenOf(operation) });
  }
  for (const ClaimOperation& operation : mPending) {
    actions.push_back(AnswerClaim{ .token = tokenOf(operation) });
  }
  mBatch.clear();
  mPending.clear();
  return actions;
}

/// False if the value is faulty: a claim that can't be read may be one that
/// was granted, so nothing may be decided.
bool
ClaimShard::adopt(std::uint64_t aVersion, std::string_view aValue)
{
  mKnown = true;
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
ClaimShard::serialized() const
{
  json::object claims;
  for (const auto& [key, claim] : mDraft) {
    claims[key] = toJson(claim);
  }
  return json::serialize(json::object{ { "claims", std::move(claims) } });
}

void
ClaimShard::dropOld()
{
  std::erase_if(mClaims, [&](const auto& aEntry) {
    return aEntry.second.takenAt + mOptions.keepSeconds < mNow;
  });
}

} // namespace laburnum::coordination
