#pragma once

#include "laburnum/gateway/caller_connection.hpp"
#include "laburnum/gateway/event_splitter.hpp"
#include "laburnum/gateway/request_course.hpp"

#include <memory>
#include <set>

namespace laburnum::gateway {

/// One caller's request on its way: checked, placed, sent, verified, passed
/// back. Thread safety: loop thread.
class Forwarding : public std::enable_shared_from_this<Forwarding>
{
public:
  /// Pre: the connection outlives this, or has called `callerGone`.
  Forwarding(Context& aContext,
             CallerConnection& aCaller,
             http::Request aRequest);

  /// Begins. Pre: called once.
  void start();

  /// A server of a group has turned slow (`Moved`) or silent (`Lost`): goes on
  /// at another one if it sends a stream that can be resumed there. Answers the
  /// load in which one slow rank holds up the passes of all streams for as long
  /// as it has some itself. Pre: none.
  void leaveServer(const std::string& aId, AttemptEnd aEnd);

  /// The caller closed its connection. Pre: none.
  void callerGone();

private:
  // Steps of admission, in order; each that returns false has refused.
  bool admit();
  bool chooseRoute();
  bool authenticate();
  bool setDeadline();
  bool chooseService();
  bool isTrusted();
  void readDemand();
  bool hasRoom();

  void place();
  void send(const ServerRecord& aServer);
  http::Request outgoing(const ServerRecord& aServer) const;
  void on(const AnswerHead& aEvent);
  void on(const AnswerBytes& aEvent);
  void on(const AnswerEnd& aEvent);
  void on(const ConnectionLost& aEvent);
  bool passEvents(std::string_view aBytes);
  AttemptEnd judge() const;
  void attemptEnded(AttemptEnd aEnd, std::string_view aReason);
  void apply(const PassAnswer& aDecision);
  void apply(const SendAgain& aDecision);
  void apply(const RefuseNotRun& aDecision);
  void apply(const FailMayHaveRun& aDecision);
  void apply(const BreakOff& aDecision);
  void decide(const CourseDecision& aDecision);
  void refuse(unsigned aStatus, Failure aFailure);
  void deadlineReached();
  void startTimer(Duration aTime, bool aIsAttempt);
  void leaveAttempt(AttemptEnd aEnd);
  void finish(std::string_view aOutcome, unsigned aStatus);
  Duration left() const;
  Duration emptyPass() const;
  bool isStream() const { return mRoute->repeat == Repeat::Stream; }

  Context& mContext;
  CallerConnection* mCaller;
  http::Request mRequest;
  std::shared_ptr<const Configuration> mConfiguration;
  const Route* mRoute = nullptr;
  const Service* mService = nullptr;
  std::string mId;
  std::string mAccount;
  std::uint64_t mFingerprint = 0;
  Placement::Demand mDemand;
  std::optional<RequestCourse> mCourse;
  Instant mBegan;
  Instant mDeadline;
  asio::steady_timer mTimer;
  asio::steady_timer mAttemptTimer;
  std::set<std::string> mTried;
  std::string mServerId;
  std::shared_ptr<ServerConnection> mServer;
  Instant mSentAt{};
  http::Response mAnswer;
  bool mIsEvents = false;
  EventSplitter mSplitter;
  EventSequence mSequence;
  bool mEventsBegun = false;
  Instant mLastEvent{};
  Duration mFirstEvent{ 0 };
  Duration mLongestGap{ 0 };
  bool mCountsStream = false;
  std::string_view mRefusedFor; ///< Empty unless its group had no room.
  bool mFinished = false;
};

} // namespace laburnum::gateway
