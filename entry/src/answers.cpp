#include "laburnum/entry/answers.hpp"

#include "laburnum/http/sse.hpp"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace laburnum::entry {
namespace {

namespace json = boost::json;
namespace bhttp = boost::beast::http;

std::int64_t
retrySeconds(const Failure& aFailure)
{
  return (aFailure.retryAfter + seconds(1) - Duration(1)) / seconds(1);
}

json::object
errorBody(const Failure& aFailure)
{
  const ErrorInfo& facts = info(aFailure.error);
  std::string message(facts.cause);
  if (!aFailure.detail.empty()) {
    message.append(" ").append(aFailure.detail);
  }
  json::object error{ { "id", facts.id },
                      { "message", std::move(message) },
                      { "verdict", name(aFailure.verdict) } };
  if (aFailure.retryAfter > Duration(0)) {
    error["retry_after_s"] = retrySeconds(aFailure);
  }
  return { { "error", std::move(error) } };
}

/// True if a text stands in JSON as it is.
bool
isPlain(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](unsigned char aChar) {
    return aChar >= 0x20 && aChar != '"' && aChar != '\\' && aChar < 0x80;
  });
}

std::string
quoted(std::string_view aText)
{
  if (isPlain(aText)) {
    return std::string("\"").append(aText).append("\"");
  }
  return json::serialize(json::value(aText));
}

} // namespace

http::Response
failureResponse(const Failure& aFailure)
{
  const ErrorInfo& facts = info(aFailure.error);
  http::Response response{ bhttp::int_to_status(facts.status), 11 };
  response.result(facts.status);
  response.set(bhttp::field::content_type, "application/json");
  response.set("Laburnum-Error", facts.id);
  response.set("Laburnum-Verdict", name(aFailure.verdict));
  if (aFailure.retryAfter > Duration(0)) {
    response.set(bhttp::field::retry_after,
                 std::to_string(retrySeconds(aFailure)));
  }
  if (aFailure.error == Error::UnknownKey) {
    response.set(bhttp::field::www_authenticate, "Bearer");
  }
  response.body() = json::serialize(errorBody(aFailure));
  return response;
}

std::string
failureEvent(const Failure& aFailure)
{
  return "event: error\n" +
         http::sseEvent(json::serialize(errorBody(aFailure)));
}

CompletionWriter::CompletionWriter(std::string aId,
                                   std::string aModel,
                                   bool aChat)
  : mId(std::move(aId))
  , mModel(std::move(aModel))
  , mChat(aChat)
{
  mChunkHead = "{\"id\":" + quoted(mId) + ",\"object\":\"" +
               (mChat ? "chat.completion.chunk" : "text_completion") +
               "\",\"model\":" + quoted(mModel) + ",\"choices\":[{\"index\":0,";
}

std::string
CompletionWriter::chunk(std::string_view aText) const
{
  const std::string text = quoted(aText);
  const std::string body =
    mChat ? "\"delta\":{\"content\":" + text + "}" : "\"text\":" + text;
  return http::sseEvent(mChunkHead + body + ",\"finish_reason\":null}]}");
}

std::string
CompletionWriter::lastChunk(std::string_view aReason) const
{
  const std::string body = mChat ? "\"delta\":{}" : "\"text\":\"\"";
  return http::sseEvent(mChunkHead + body +
                        ",\"finish_reason\":" + quoted(aReason) + "}]}") +
         http::sseEvent("[DONE]");
}

std::string
CompletionWriter::whole(std::string_view aText,
                        std::string_view aReason,
                        std::uint64_t aTokens) const
{
  json::object choice{ { "index", 0 }, { "finish_reason", aReason } };
  if (mChat) {
    choice["message"] =
      json::object{ { "role", "assistant" }, { "content", aText } };
  } else {
    choice["text"] = aText;
  }
  return json::serialize(json::object{
    { "id", mId },
    { "object", mChat ? "chat.completion" : "text_completion" },
    { "model", mModel },
    { "choices", json::array{ std::move(choice) } },
    { "usage", json::object{ { "completion_tokens", aTokens } } } });
}

} // namespace laburnum::entry
