#pragma once

#include "laburnum/wire/message.hpp"

#include <deque>
#include <memory>
#include <string>

namespace laburnum::agent {

/// The parts of one answer that the entry has not acknowledged, so that they
/// can be sent again on another connection. Thread safety: loop thread.
class AnswerStream
{
public:
  AnswerStream(wire::Attempt aAttempt,
               std::uint64_t aFirstPart,
               std::size_t aWindowBytes);

  /// Adds a part; returns its number. Pre: not ended.
  std::uint64_t add(wire::PartT aPart);

  /// Marks the answer's end. Pre: not ended.
  void finish(std::string aReason);
  void fail(Verdict aVerdict, Error aError);

  /// Drops parts below a number. Pre: none.
  void acknowledge(std::uint64_t aNextPart);

  /// Calls a function with each message that has not been sent yet.
  template<class Send>
  void sendNew(Send aSend)
  {
    for (; mSent < mBase + mParts.size(); ++mSent) {
      aSend(wire::AnyMessage(mParts[mSent - mBase]));
    }
    if (mEnd && !mEndSent) {
      mEndSent = true;
      aSend(*mEnd);
    }
  }

  /// Has everything from a part on sent again. Pre: none.
  void rewind(std::uint64_t aNextPart);

  /// True if a part and all after it are still held or to come. Pre: none.
  bool holdsFrom(std::uint64_t aPart) const { return aPart >= mBase; }

  bool isFull() const { return mBytes >= mWindow; }
  bool isEnded() const { return mEnd != nullptr; }
  bool isSettled() const { return isEnded() && mEndSent && mParts.empty(); }
  std::uint64_t parts() const { return mBase + mParts.size(); }

private:
  wire::Attempt mAttempt;
  std::size_t mWindow;
  std::deque<wire::PartT> mParts;
  std::uint64_t mBase; ///< Number of the first part held.
  std::uint64_t mSent; ///< Number of the next part to send.
  std::size_t mBytes = 0;
  std::unique_ptr<wire::AnyMessage> mEnd;
  bool mEndSent = false;
};

} // namespace laburnum::agent
