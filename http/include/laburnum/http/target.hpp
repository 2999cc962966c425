#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace laburnum::http {

/// Builds the target of a request from untrusted names, such as those of stored
/// objects: each is percent-encoded, so that it stays one segment of the path
/// or one value of the query (RFC 3986, section 2.1).
/// Thread safety: one thread an object.
class Target
{
public:
  /// `aPath`: the start of the path, sent without encoding.
  explicit Target(std::string_view aPath)
    : mText(aPath)
  {
  }

  /// Appends a segment to the path. A server may resolve an empty name, and one
  /// that has one or two dots alone or between slashes, to another path,
  /// encoded or not; the target then has no text.
  /// @pre No parameter has been appended.
  Target& segment(std::string_view aName);

  /// Appends a parameter to the query. `aName` is sent without encoding.
  Target& parameter(std::string_view aName, std::string_view aValue);

  /// The target as it is sent, or nothing if a segment cannot be sent.
  std::optional<std::string> text() const
  {
    return mIsValid ? std::optional(mText) : std::nullopt;
  }

private:
  std::string mText;
  bool mIsValid = true;
  bool mHasQuery = false;
};

} // namespace laburnum::http
