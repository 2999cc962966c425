#pragma once

#include "laburnum/http/messages.hpp"
#include "laburnum/kernel/result.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace laburnum::entry {

/// A refusal or failure as a whole response: status, identifier, verdict and
/// advice in headers and body. Pre: none. Thread safety: any thread.
http::Response
failureResponse(const Failure& aFailure);

/// The same as the last event of a stream that has begun.
std::string
failureEvent(const Failure& aFailure);

/// Writes completions in the form that engines of the field serve.
/// Thread safety: one thread an object.
class CompletionWriter
{
public:
  /// aChat selects the form of `/v1/chat/completions`. Pre: none.
  CompletionWriter(std::string aId, std::string aModel, bool aChat);

  /// One server-sent event with a piece of text. Pre: none.
  std::string chunk(std::string_view aText) const;

  /// The last events of a whole answer. Pre: none.
  std::string lastChunk(std::string_view aReason) const;

  /// A whole answer. Pre: none.
  std::string whole(std::string_view aText,
                    std::string_view aReason,
                    std::uint64_t aTokens) const;

private:
  std::string mId;
  std::string mModel;
  bool mChat;
  std::string mChunkHead;
};

} // namespace laburnum::entry
