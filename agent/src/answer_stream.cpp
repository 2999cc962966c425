#include "laburnum/agent/answer_stream.hpp"

#include <algorithm>

namespace laburnum::agent {

AnswerStream::AnswerStream(wire::Attempt aAttempt,
                           std::uint64_t aFirstPart,
                           std::size_t aWindowBytes)
  : mAttempt(aAttempt)
  , mWindow(aWindowBytes)
  , mBase(aFirstPart)
  , mSent(aFirstPart)
{
}

std::uint64_t
AnswerStream::add(wire::PartT aPart)
{
  aPart.attempt = std::make_unique<wire::Attempt>(mAttempt);
  aPart.sequence = parts();
  mBytes += aPart.payload.size();
  mParts.push_back(std::move(aPart));
  return mParts.back().sequence;
}

void
AnswerStream::finish(std::string aReason)
{
  wire::FinishedT message;
  message.attempt = std::make_unique<wire::Attempt>(mAttempt);
  message.parts = parts();
  message.reason = std::move(aReason);
  mEnd = std::make_unique<wire::AnyMessage>(std::move(message));
}

void
AnswerStream::fail(Verdict aVerdict, Error aError)
{
  wire::RejectedT message;
  message.attempt = std::make_unique<wire::Attempt>(mAttempt);
  message.verdict = static_cast<std::uint8_t>(aVerdict);
  message.error = static_cast<std::uint16_t>(aError);
  mEnd = std::make_unique<wire::AnyMessage>(std::move(message));
}

void
AnswerStream::acknowledge(std::uint64_t aNextPart)
{
  while (!mParts.empty() && mBase < aNextPart && mBase < mSent) {
    mBytes -= mParts.front().payload.size();
    mParts.pop_front();
    ++mBase;
  }
}

void
AnswerStream::rewind(std::uint64_t aNextPart)
{
  acknowledge(aNextPart);
  mSent = std::clamp(aNextPart, mBase, parts());
  mEndSent = false;
}

} // namespace laburnum::agent
