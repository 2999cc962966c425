#pragma once

#include "laburnum/gateway/client_connection.hpp"
#include "laburnum/gateway/event_splitter.hpp"
#include "laburnum/gateway/group_choice.hpp"
#include "laburnum/gateway/group_moves.hpp"
#include "laburnum/gateway/retry_controller.hpp"

#include <memory>
#include <set>

namespace laburnum::gateway {

/// Processes one client request: authenticates and admits it, selects a server,
/// forwards the request, validates the response and sends it back, retrying on
/// other servers where that is safe. Enforces the deadline of the request.
///
/// Thread safety: loop thread only.
class RequestForwarder : public std::enable_shared_from_this<RequestForwarder>
{
public:
  /// @pre The connection outlives this object or has called
  /// `clientDisconnected`.
  RequestForwarder(Context& aContext,
                   ClientConnection& aClient,
                   http::Request aRequest);

  /// Starts processing.
  /// @pre Called once.
  void start();

  /// Called when a server of a group has become slow (`Migrated`) or silent
  /// (`Lost`). Moves the request to another server if it is a resumable stream
  /// of that server. One slow rank delays the passes of all streams of its
  /// group for as long as it has any itself.
  void migrateFrom(const std::string& aServerId, AttemptOutcome aOutcome);

  /// Returns what decides on the order of moves if the request is a stream in
  /// a group that can be moved to another one and has stopped: the group has
  /// broken, and its servers may still go on with some streams.
  std::optional<StrandedStream> stranded(const GroupKey& aGroup) const;

  /// Moves the stream to another group that has room. Returns false if there is
  /// none, or the retry budget does not allow it.
  /// @pre `stranded` returned a value, in the same call of the loop.
  bool moveFrom(const GroupKey& aGroup);

  /// Ends the request as if its deadline had passed.
  void expire();

  /// Closes the server connection of the attempt in progress, which keeps this
  /// object, and decides nothing any more.
  void release();

  /// Cancels the request after the client closed the connection.
  void clientDisconnected();

private:
  // Steps of admission, in order; one that returns false has sent an error.
  bool admit();
  bool chooseRoute();
  bool authenticate();
  bool setDeadline();
  bool chooseService();
  bool checkQuarantine();
  bool isQuarantined() const;
  void parseDemand();
  bool checkGroupAdmission();

  /// The groups of some servers, with the room that each has for this request.
  /// True if the room left in the groups is for more urgent requests.
  bool isHeldBack(const std::vector<GroupDirectory::Members>& aGroups) const;
  std::vector<GroupOption> groupOptions(
    const std::vector<GroupDirectory::Members>& aGroups,
    Instant aNow) const;
  GroupDemand groupDemand(const GroupKey& aGroup, bool aHasOtherGroups) const;
  /// Selects the group and the server in it for the next attempt, or null.
  const ServerRecord* selectServer(const std::set<std::string>& aExcluded,
                                   Instant aNow);
  /// Ends the attempt in progress and sends the stream to another server.
  void resumeElsewhere(const ServerRecord& aServer, AttemptOutcome aOutcome);
  bool canResumeElsewhere() const;
  /// True if the stream goes on where the events delivered end, if its rest is
  /// asked for.
  bool canResumeStream() const;
  /// Counts the stream at the server of its present attempt.
  void placeStream(Instant aNow);
  void unplaceStream();
  /// Its prompt has been read where it runs.
  void promptRead();
  /// The group of the server of the present or last attempt.
  GroupKey currentGroup() const;

  void dispatch();
  /// Sends to a server that limits the rate of requests, or selects another
  /// one if its limit is reached.
  asio::awaitable<void> sendWithPermit(ServerRecord aServer, ServerRate aRate);
  /// Refuses a request for which no server has a permit left. One that may have
  /// been executed waits for the next permit instead.
  void refuseOrAwaitPermit();
  asio::awaitable<void> dispatchAt(Instant aTime);
  /// Leaves servers that are not cold, if there are any.
  void excludeColdServers(std::vector<const ServerRecord*>& aServers,
                          Instant aNow) const;
  void sendTo(const ServerRecord& aServer);
  http::Request buildRequest(const ServerRecord& aServer) const;
  /// Records that the server makes progress.
  void recordActivity();
  void handle(const ResponseHead& aEvent);
  /// Stops sending to the server for as long as its response asks for.
  void pauseServer();
  /// Records the rate of requests that the server accepts.
  void updateRateLimit();
  Duration noServerRetryAfter(Error aReason) const;
  void handle(const ResponseBytes& aEvent);
  void handle(const ResponseEnd& aEvent);
  void handle(const ConnectionLost& aEvent);
  /// Delivers the events completed by these bytes, up to the first one whose ID
  /// does not follow. Returns false if there is one.
  bool forwardEvents(std::string_view aBytes);
  void deliverEvents(std::string aEvents, bool aHasProgress);
  AttemptOutcome classifyResponse() const;
  void finishAttempt(AttemptOutcome aOutcome, std::string_view aReason);
  /// Decides what follows the loss of a connection that the server has closed,
  /// as soon as it is known whether the server has crashed.
  void finishLostAttempt(std::string_view aReason);
  void recordAttemptEnd(AttemptOutcome aOutcome,
                        std::string_view aReason,
                        bool aIsClosedByServer = false);
  /// Records that the attempt in progress has got no complete response, for
  /// the case that its server has crashed.
  void recordLoss(bool aIsClosedByServer);
  void decideNext(AttemptOutcome aOutcome);
  void apply(const ForwardResponse& aDecision);
  void apply(const RetryRequest& aDecision);
  void apply(const RejectNotExecuted& aDecision);
  void apply(const FailMayHaveExecuted& aDecision);
  void apply(const AbortResponse& aDecision);
  void execute(const RetryDecision& aDecision);
  void refuse(unsigned aStatus, Failure aFailure);
  /// Ends the attempt because its response takes too much memory.
  void giveUpResponse();
  void onDeadline();
  void startTimer(Duration aTime, bool aIsAttempt);
  void endAttempt(AttemptOutcome aOutcome, bool aIsClosedByServer = false);
  void finish(std::string_view aOutcome, unsigned aStatus);
  Duration remainingTime() const;
  /// Priorities of account and route, for logs and metrics.
  std::string priorityText() const
  {
    return std::to_string(mUrgency.account) + "/" +
           std::to_string(mUrgency.route);
  }
  /// The ID after which the stream would be resumed, for logs.
  std::string lastEventText() const
  {
    const auto id = mEventSequence.lastId();
    return id ? std::to_string(*id) : "";
  }
  bool isStream() const { return mRoute->type == RouteType::Stream; }

  Context& mContext;
  ClientConnection* mClient;
  http::Request mRequest;
  std::shared_ptr<const Configuration> mConfiguration;
  const Route* mRoute = nullptr;
  const Service* mService = nullptr;
  std::string mRequestId;
  std::string mAccount;
  Urgency mUrgency;
  policy::RequestContent mContent;
  ServerSelector::Demand mDemand;
  std::optional<RetryController> mRetryController;
  Instant mStartedAt;
  Instant mDeadline;
  asio::steady_timer mTimer;
  asio::steady_timer mAttemptTimer;
  std::set<std::string> mTriedServers;
  int mPermitDenials = 0; ///< Since the last attempt.
  /// A cold server had no permit left: one that is not cold is preferred.
  bool mIsColdDenied = false;
  std::string mServerId;
  policy::CrashId mServerProcess = 0; ///< Process of `mServerId`.
  contract::Address mServerAddress;
  std::int64_t mServerStartedMs = 0;
  /// While it is checked whether the server of a lost attempt has crashed.
  bool mIsProbing = false;
  std::shared_ptr<ServerConnection> mConnection;
  Instant mSentAt{};
  http::Response mResponse;
  bool mIsEventStream = false;
  EventSplitter mSplitter;
  EventSequence mEventSequence;
  bool mHasForwardedEvents = false; ///< In any attempt.
  bool mAttemptHasEvents = false;   ///< With data, in the attempt in progress.
  /// A server has sent a part of a further event, or one that was invalid.
  bool mExpectsEvent = false;
  Instant mLastEventAt{};
  Duration mFirstEventDelay{ 0 };
  Duration mMaxGap{ 0 };
  /// At which server the stream counts; empty if at none.
  std::string mPlacedAt;
  GroupKey mGroup; ///< Of `mPlacedAt` when the stream was placed there.
  /// Prompt tokens that count as waiting at `mPlacedAt`.
  double mWaitingTokens = 0;
  double mLimitShare = 1; ///< See `GroupDemand`.
  /// Empty unless rejected by `GroupAdmission`.
  std::string_view mRefusalCause;
  bool mFinished = false;
};

} // namespace laburnum::gateway
