#pragma once

#include "laburnum/kernel/result.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace laburnum::coordination {

/// The recorded answer to a request with an Idempotency-Key.
struct RecordedOutcome
{
  unsigned status = 0;
  std::string contentType;
  std::string body;
  Verdict verdict = Verdict::Ran;
  bool whole = true; ///< False: the body was too long to be recorded.
};

/// The one attempt by which the holder of a claim may run its request.
struct ClaimedAttempt
{
  std::string agent;                  ///< Instance beside the backend server.
  std::uint64_t agentIncarnation = 0; ///< Another run of it refuses to start.
  std::uint64_t entry = 0;            ///< Incarnation of who made the attempt.
  std::uint64_t number = 0;

  bool operator==(const ClaimedAttempt&) const = default;
};

/// A claim as it stands in the platform.
struct Claim
{
  std::uint64_t nonce = 0;       ///< Of the request that holds it.
  std::uint64_t requestHash = 0; ///< Of method, path and body.
  std::uint64_t holder = 0;      ///< Incarnation of the holder's entry.
  std::int64_t takenAt = 0;      ///< Wall clock, in seconds.
  ClaimedAttempt attempt;
  std::optional<RecordedOutcome> outcome;
};

// Operations on a shard; the token comes back with the answer.

/// Claims a key for the request with the nonce.
struct TakeClaim
{
  std::uint64_t token = 0;
  std::string key;
  std::uint64_t nonce = 0;
  std::uint64_t requestHash = 0;
  std::uint64_t holder = 0;
  ClaimedAttempt attempt;
};
/// Takes a claim over from the request with another nonce, if it still has no
/// outcome and names the same attempt, which the new holder then asks after.
struct TakeOverClaim
{
  std::uint64_t token = 0;
  std::string key;
  std::uint64_t nonce = 0;
  std::uint64_t from = 0;
  std::uint64_t holder = 0;
  ClaimedAttempt attempt; ///< As the claim was read.
};
/// Names the next attempt of the request that holds the claim. Pre: the one
/// before certainly has not run.
struct MoveClaim
{
  std::uint64_t token = 0;
  std::string key;
  std::uint64_t nonce = 0;
  ClaimedAttempt attempt;
};
/// Records the outcome of a request that holds the claim.
struct RecordOutcome
{
  std::uint64_t token = 0;
  std::string key;
  std::uint64_t nonce = 0;
  RecordedOutcome outcome;
};
/// Frees the key of a request that certainly has not run.
struct ReleaseClaim
{
  std::uint64_t token = 0;
  std::string key;
  std::uint64_t nonce = 0;
};

using ClaimOperation = std::
  variant<TakeClaim, TakeOverClaim, MoveClaim, RecordOutcome, ReleaseClaim>;

enum class ClaimStatus : std::uint8_t
{
  Granted,    ///< The claim, record or release is durable.
  Held,       ///< Another request holds the key; see the claim.
  Unavailable ///< The platform does not answer; nothing is certain.
};

// What the shard wants done.

struct WriteShard
{
  std::uint64_t expected = 0;
  std::string value;
};
struct ReadShard
{};
struct AnswerClaim
{
  std::uint64_t token = 0;
  ClaimStatus status = ClaimStatus::Unavailable;
  Claim claim; ///< The holder's, when held.
};

using ClaimAction = std::variant<WriteShard, ReadShard, AnswerClaim>;

struct ClaimShardOptions
{
  std::int64_t keepSeconds = 7200;        ///< How long a key is remembered.
  std::size_t maxValueBytes = 900 * 1024; ///< Below the platform's megabyte.
  bool conditional = true; ///< Off, for experiments: writes without condition.
};

/// Claims of one shard object, written in groups: all that arrives while a
/// write is in flight goes into the next. The platform's conditional write
/// decides between owners; a failed condition returns the present value, as
/// lightweight transactions do (Ellis, 2013), so that a retry needs no read.
/// Free of I/O. Thread safety: loop thread.
class ClaimShard
{
public:
  explicit ClaimShard(ClaimShardOptions aOptions = {});

  /// Queues an operation. aWallSeconds is the wall clock. Pre: none.
  std::vector<ClaimAction> submit(ClaimOperation aOperation,
                                  std::int64_t aWallSeconds);

  // Replies of the platform. Pre: the matching action is in flight.

  std::vector<ClaimAction> written(std::uint64_t aVersion);
  std::vector<ClaimAction> conflicted(std::uint64_t aVersion,
                                      std::string_view aValue);
  std::vector<ClaimAction> replyLost();
  /// Version 0 means that there is no object yet.
  std::vector<ClaimAction> readBack(std::uint64_t aVersion,
                                    std::string_view aValue);
  std::vector<ClaimAction> readFailed();

  /// Has the next operation read the shard first, for a claim that another
  /// entry may have changed. Pre: none.
  void invalidate() { mKnown = mInFlight && mKnown; }

  /// Operations that wait for the platform. Pre: none.
  std::size_t waiting() const { return mPending.size() + mBatch.size(); }

private:
  using Actions = std::vector<ClaimAction>;

  /// What an operation did to the draft.
  enum class Effect : std::uint8_t
  {
    None, ///< It holds already: a lost reply, or an earlier one of the batch.
    Changed,
    Refused ///< Another request holds the key.
  };

  Actions advance();
  Actions refuseAll();
  Effect evaluate(const ClaimOperation& aOperation);
  Effect on(const TakeClaim& aTake);
  Effect on(const TakeOverClaim& aTake);
  Effect on(const MoveClaim& aMove);
  Effect on(const RecordOutcome& aRecord);
  Effect on(const ReleaseClaim& aRelease);
  Claim* held(const std::string& aKey, std::uint64_t aNonce);
  bool adopt(std::uint64_t aVersion, std::string_view aValue);
  std::string serialized() const;
  void dropOld();

  ClaimShardOptions mOptions;
  std::map<std::string, Claim, std::less<>> mClaims;
  std::uint64_t mVersion = 0;
  std::int64_t mNow = 0;
  bool mKnown = false;
  bool mInFlight = false;
  std::deque<ClaimOperation> mPending;
  std::vector<ClaimOperation> mBatch;
  std::map<std::string, Claim, std::less<>> mDraft;
};

} // namespace laburnum::coordination
