#pragma once

#include "gateway_fixture.hpp"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace laburnum::gateway {

/// A stream of five events, as a sound server sends it.
struct ResumableStream
{
  static constexpr int kPieces = 5;

  int firstId = 0;
  std::string lineEnd = "\n";
  std::string space = " ";     ///< Behind the colon of a field.
  std::string text = "piece "; ///< Of each piece, before its number.

  /// What a client has got when it has all events.
  std::vector<std::string> pieces() const
  {
    std::vector<std::string> all;
    for (int i = 0; i < kPieces; ++i) {
      all.push_back(piece(i));
    }
    return all;
  }

  std::string event(int aPiece) const
  {
    return event(aPiece, firstId + aPiece);
  }

  std::string event(int aPiece, int aId) const
  {
    return "id:" + space + std::to_string(aId) + lineEnd + "data:" + space +
           piece(aPiece) + lineEnd + lineEnd;
  }

  /// Some of the events, each in a chunk of its own.
  std::string chunks(int aBegin, int aEnd = kPieces) const
  {
    std::string text;
    for (int i = aBegin; i < aEnd; ++i) {
      text += chunk(event(i));
    }
    return text;
  }

  /// The response of a sound server, from the ID on that the request names.
  std::string answer(const http::Request& aRequest) const
  {
    const std::string lastId(aRequest["Last-Event-Id"]);
    const int begin = lastId.empty() ? 0 : std::stoi(lastId) + 1 - firstId;
    return kEventStreamHead + chunks(std::max(0, begin)) + "0\r\n\r\n";
  }

private:
  std::string piece(int aPiece) const { return text + std::to_string(aPiece); }
};

/// The bytes in the chunks of a response.
inline std::string
bodyOf(std::string_view aReceived)
{
  std::string body;
  std::size_t at = std::min(aReceived.find("\r\n\r\n"), aReceived.size());
  at = std::min(at + 4, aReceived.size());
  while (at < aReceived.size()) {
    const std::size_t size =
      std::strtoul(aReceived.substr(at).data(), nullptr, 16);
    const std::size_t begin = aReceived.find("\r\n", at);
    if (size == 0 || begin == std::string_view::npos) {
      break;
    }
    body += aReceived.substr(begin + 2, size);
    at = begin + 2 + size + 2;
  }
  return body;
}

inline bool
isComplete(std::string_view aReceived)
{
  return aReceived.ends_with("0\r\n\r\n");
}

/// The data of each event that a client which reads the format by its letter
/// has got: lines end with LF, CR LF or CR, events without data are none.
inline std::vector<std::string>
receivedPieces(std::string_view aReceived)
{
  std::vector<std::string> pieces;
  std::optional<std::string> data;
  std::string line;
  const std::string body = bodyOf(aReceived);
  for (std::size_t i = 0; i < body.size(); ++i) {
    if (body[i] != '\n' && body[i] != '\r') {
      line += body[i];
      continue;
    }
    if (body[i] == '\r' && i + 1 < body.size() && body[i + 1] == '\n') {
      ++i;
    }
    if (line.empty() && data) {
      pieces.push_back(*data);
      data.reset();
    } else if (line == "data" || line.starts_with("data:")) {
      const std::size_t skip = line.starts_with("data: ") ? 6 : 5;
      data =
        (data ? *data + "\n" : "") + line.substr(std::min(skip, line.size()));
    }
    line.clear();
  }
  return pieces;
}

} // namespace laburnum::gateway
