#pragma once

#include "laburnum/gateway/configuration.hpp"
#include "laburnum/kernel/error.hpp"

#include <string_view>
#include <variant>

namespace laburnum::gateway {

/// How one sending to a backend server ended.
enum class AttemptEnd : std::uint8_t
{
  NotSent,  ///< No byte left; the connection could not be opened.
  Rejected, ///< The server says that it did not run the request.
  Failed,   ///< The server's own failure: it ran the request.
  Lost,     ///< No whole answer: it may have run.
  Spoiled,  ///< Bytes that are no whole answer to this request.
  Moved,    ///< Given up by us for a faster server: it has run.
  Answered  ///< A whole answer that is passed on.
};

inline constexpr EnumNames<AttemptEnd, 7> kAttemptEndNames{
  { { AttemptEnd::NotSent, "not_sent" },
    { AttemptEnd::Rejected, "rejected" },
    { AttemptEnd::Failed, "failed" },
    { AttemptEnd::Lost, "lost" },
    { AttemptEnd::Spoiled, "spoiled" },
    { AttemptEnd::Moved, "moved" },
    { AttemptEnd::Answered, "answered" } }
};

/// Send to another server.
struct SendAgain
{};
/// Pass on what the server gave.
struct PassAnswer
{};
/// Tell the caller that the request did not run and will not.
struct RefuseNotRun
{
  Error error = Error::NoServer;
};
/// Tell the caller that the request may have run.
struct FailMayHaveRun
{
  Error error = Error::ServerLost;
};
/// The answer has begun: break it off so that it cannot look whole.
struct BreakOff
{};

using CourseDecision =
  std::variant<SendAgain, PassAnswer, RefuseNotRun, FailMayHaveRun, BreakOff>;

struct CourseOptions
{
  int maxUnsent = 3; ///< Connections that may fail to open, one after another.
  /// Less time than this does not reach another server and back.
  Duration leastTime = milliseconds(20);
};

/// Decides what follows on the end of each sending of one caller's request.
/// Keeps the promise "not run": once a byte was sent, only the server's own
/// word that it did not run a request makes a refusal true. Free of I/O.
/// Thread safety: one thread an object.
class RequestCourse
{
public:
  RequestCourse(bool aMayRepeat, int aMaxAttempts);

  /// A sending begins. Pre: none is in progress.
  void sending() { ++mSendings; }

  /// Events of the answer were passed on to the caller. Pre: none.
  void answerBegan() { mAnswerBegan = true; }

  /// What follows on the end of a sending. aTakeRepeat is asked only when a
  /// repeat is otherwise possible. Pre: `sending` was called.
  template<class TakeRepeat>
  CourseDecision ended(AttemptEnd aEnd, Duration aLeft, TakeRepeat aTakeRepeat)
  {
    note(aEnd);
    if (aEnd == AttemptEnd::Answered) {
      return PassAnswer{};
    }
    if (aEnd == AttemptEnd::NotSent && mUnsent < mOptions.maxUnsent &&
        aLeft > mOptions.leastTime) {
      return SendAgain{};
    }
    if (maySendAgain(aEnd, aLeft) && aTakeRepeat()) {
      return SendAgain{};
    }
    return final(aEnd);
  }

  /// The time is over while a sending is in progress, or before any was.
  CourseDecision timedOut(bool aInProgress) const;

  /// No server can take the request. Pre: none is in progress.
  CourseDecision unplaced() const;

  /// True if the sending in progress may be given up for one to another server.
  /// Pre: one is in progress.
  bool mayMove(Duration aLeft) const
  {
    return maySendAgain(AttemptEnd::Moved, aLeft);
  }

  /// True if every sending is known not to have run. Pre: none.
  bool isNotRun() const { return !mMayHaveRun; }

  int sendings() const { return mSendings; }

private:
  void note(AttemptEnd aEnd);
  bool maySendAgain(AttemptEnd aEnd, Duration aLeft) const;
  CourseDecision final(AttemptEnd aEnd) const;

  CourseOptions mOptions;
  bool mMayRepeat;
  int mMaxAttempts;
  int mSendings = 0;
  int mUnsent = 0;
  bool mMayHaveRun = false;
  bool mAnswerBegan = false;
};

} // namespace laburnum::gateway
