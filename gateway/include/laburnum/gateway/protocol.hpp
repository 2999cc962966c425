#pragma once

#include <string_view>

namespace laburnum::gateway {

/// Names of the HTTP headers exchanged by clients, the gateway and backend
/// servers. The defaults are those of laburnumbank; a deployment may define
/// others.
struct HeaderNames
{
  std::string_view attemptId = "Laburnum-Attempt";
  std::string_view deadlineMs = "Laburnum-Deadline-Ms";
  std::string_view signature = "Laburnum-Signature";
  std::string_view notExecuted = "Laburnum-Not-Executed";
  std::string_view expectInstance = "Laburnum-Expect-Instance";
  std::string_view account = "Laburnum-Account";
  std::string_view lastEventId = "Last-Event-Id";
  std::string_view promptTokens = "Laburnum-Prompt-Tokens";
  /// Parts of the prompt in order, `ID:TOKENS` each, separated by commas.
  std::string_view promptParts = "Laburnum-Prompt-Parts";
  std::string_view lengthHint = "Laburnum-Length-Hint";
  std::string_view priority = "Laburnum-Priority";
  std::string_view serverLeaving = "Laburnum-Leaving"; ///< "1" if it is.
  /// Requests per second that the server accepts from all gateways together.
  std::string_view serverRateLimit = "Laburnum-Rate-Limit";
  std::string_view failedServer = "Laburnum-Failed-Server";
};

} // namespace laburnum::gateway
