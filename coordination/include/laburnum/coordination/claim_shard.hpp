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

/// The stored response to a request with an Idempotency-Key, which is replayed
/// to later requests with the same key.
struct RecordedOutcome
{
  unsigned status = 0; ///< HTTP status code.
  std::string contentType;
  std::string body;
  Verdict verdict = Verdict::Ran;
  bool bodyComplete = true; ///< False if the body was too long to be stored.
};

/// The only attempt through which the holder of a claim may execute its
/// request. An entry that takes the claim over asks the agent about it.
struct ClaimedAttempt
{
  std::string agent; ///< Instance beside the backend server.
  /// A restarted agent has another incarnation and refuses the attempt.
  std::uint64_t agentIncarnation = 0;
  std::uint64_t entryIncarnation = 0; ///< Of the entry that made the attempt.
  std::uint64_t number = 0;

  bool operator==(const ClaimedAttempt&) const = default;
};

/// The stored state of an Idempotency-Key: the request that holds it, and the
/// outcome once that request has ended.
struct Claim
{
  std::uint64_t nonce = 0;       ///< Identifies the request that holds the key.
  std::uint64_t requestHash = 0; ///< Of method, path and body.
  std::uint64_t holder = 0;      ///< Incarnation of the holding entry.
  std::int64_t acquiredAtSeconds = 0; ///< Wall-clock time.
  ClaimedAttempt attempt;
  std::optional<RecordedOutcome> outcome;
};

// Operations on a shard. The token is returned with the result.

/// Claims a key for the request with the nonce. It succeeds if the key is free
/// or already held with this nonce.
struct AcquireClaim
{
  std::uint64_t token = 0;
  std::string key;
  std::uint64_t nonce = 0;
  std::uint64_t requestHash = 0;
  std::uint64_t holder = 0;
  ClaimedAttempt attempt;
};
/// Takes a claim over from the request with another nonce. It succeeds if the
/// claim still has no outcome and names the same attempt; the new holder then
/// asks the agent about that attempt.
struct TakeOverClaim
{
  std::uint64_t token = 0;
  std::string key;
  std::uint64_t nonce = 0;
  std::uint64_t previousNonce = 0;
  std::uint64_t holder = 0;
  ClaimedAttempt attempt; ///< As it was read from the claim.
};
/// Replaces the attempt of a held claim by the next one.
/// @pre The previous attempt has certainly not been executed.
struct SetClaimAttempt
{
  std::uint64_t token = 0;
  std::string key;
  std::uint64_t nonce = 0;
  ClaimedAttempt attempt;
};
/// Stores the outcome of the request that holds the claim.
struct RecordOutcome
{
  std::uint64_t token = 0;
  std::string key;
  std::uint64_t nonce = 0;
  RecordedOutcome outcome;
};
/// Frees the key.
/// @pre The request that holds it has certainly not been executed.
struct ReleaseClaim
{
  std::uint64_t token = 0;
  std::string key;
  std::uint64_t nonce = 0;
};

using ClaimOperation = std::variant<AcquireClaim,
                                    TakeOverClaim,
                                    SetClaimAttempt,
                                    RecordOutcome,
                                    ReleaseClaim>;

enum class ClaimStatus : std::uint8_t
{
  Granted,    ///< The operation is stored durably.
  Held,       ///< Another request holds the key; the result has its claim.
  Unavailable ///< The platform does not answer: the write may have taken
              ///< effect or not.
};

// Actions that the shard asks its caller to carry out.

/// Write the shard object if it still has the expected version.
struct WriteShard
{
  std::uint64_t expectedVersion = 0;
  std::string value;
};
/// Read the shard object.
struct ReadShard
{};
/// Report the result of an operation to whoever submitted it.
struct ClaimResult
{
  std::uint64_t token = 0;
  ClaimStatus status = ClaimStatus::Unavailable;
  Claim claim; ///< The claim of the present holder, if the status is Held.
};

using ClaimAction = std::variant<WriteShard, ReadShard, ClaimResult>;

struct ClaimShardOptions
{
  std::int64_t retentionSeconds = 7200; ///< Older claims are removed.
  /// Largest shard value; the platform accepts up to a megabyte.
  std::size_t maxValueBytes = 900 * 1024;
  /// False in experiments only: writes without a condition.
  bool conditionalWrites = true;
};

/// State machine for the claims on Idempotency-Keys that share one shard
/// object of the platform. A claim ensures that of several requests with the
/// same key at most one is executed and the others get its recorded outcome.
///
/// Operations go in through `submit`; each method returns the actions that the
/// caller has to carry out, and the caller reports the platform's replies
/// through the `on...` methods. Operations that arrive while a write is in
/// flight are batched into the next write. Several entries may use the same
/// shard: the platform's conditional write decides between them. A failed
/// condition returns the present value, as in lightweight transactions (Ellis,
/// 2013), so that a retry needs no read. Versions are the platform's object
/// versions; 0 means that the object does not exist. The class does no I/O.
/// Thread safety: loop thread.
class ClaimShard
{
public:
  explicit ClaimShard(ClaimShardOptions aOptions = {});

  /// Queues an operation. aWallSeconds is the wall-clock time.
  std::vector<ClaimAction> submit(ClaimOperation aOperation,
                                  std::int64_t aWallSeconds);

  /// The write succeeded and the object has this version.
  /// @pre A WriteShard is in flight.
  std::vector<ClaimAction> onWritten(std::uint64_t aVersion);

  /// The write was rejected; aVersion and aValue are the present object.
  /// @pre A WriteShard is in flight.
  std::vector<ClaimAction> onConflict(std::uint64_t aVersion,
                                      std::string_view aValue);

  /// The write may or may not have taken effect.
  /// @pre A WriteShard is in flight.
  std::vector<ClaimAction> onReplyLost();

  /// The read returned this object.
  /// @pre A ReadShard is in flight.
  std::vector<ClaimAction> onRead(std::uint64_t aVersion,
                                  std::string_view aValue);

  /// The read failed: all waiting operations end as Unavailable.
  /// @pre A ReadShard is in flight.
  std::vector<ClaimAction> onReadFailed();

  /// Makes the next operation read the shard first, for a claim that another
  /// entry may have changed. No effect while a call is in flight.
  void invalidate() { mIsLoaded = mInFlight && mIsLoaded; }

  /// Number of operations without a result yet.
  std::size_t pendingOperations() const
  {
    return mQueue.size() + mBatch.size();
  }

private:
  using Actions = std::vector<ClaimAction>;

  /// The effect of an operation on `mNextClaims`.
  enum class Effect : std::uint8_t
  {
    None, ///< Already in place: its reply was lost, or an earlier operation of
          ///< the batch did the same.
    Changed,
    Rejected ///< Another request holds the key.
  };

  Actions processQueue();
  Actions failAll();
  Effect apply(const ClaimOperation& aOperation);
  Effect applyOne(const AcquireClaim& aAcquire);
  Effect applyOne(const TakeOverClaim& aTakeOver);
  Effect applyOne(const SetClaimAttempt& aSetAttempt);
  Effect applyOne(const RecordOutcome& aRecord);
  Effect applyOne(const ReleaseClaim& aRelease);
  Claim* findHeldClaim(const std::string& aKey, std::uint64_t aNonce);
  bool load(std::uint64_t aVersion, std::string_view aValue);
  std::string serializeNextClaims() const;
  void removeExpired();

  ClaimShardOptions mOptions;
  std::map<std::string, Claim, std::less<>> mClaims; ///< As last stored.
  std::uint64_t mVersion = 0;                        ///< Of `mClaims`.
  std::int64_t mWallSeconds = 0;      ///< Latest wall-clock time from `submit`.
  bool mIsLoaded = false;             ///< `mClaims` need not be read again.
  bool mInFlight = false;             ///< A call to the platform is in flight.
  std::deque<ClaimOperation> mQueue;  ///< For the next write.
  std::vector<ClaimOperation> mBatch; ///< In the write in flight.
  std::map<std::string, Claim, std::less<>> mNextClaims; ///< After `mBatch`.
};

} // namespace laburnum::coordination
