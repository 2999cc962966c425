#pragma once

#include "laburnum/coordination/object_client.hpp"

#include <optional>
#include <string>

namespace laburnum::ctl {

/// A change of one object that an operator wants.
struct Change
{
  std::string kind;
  std::string name;
  std::optional<boost::json::value> value; ///< Nothing deletes the object.
  std::optional<std::uint64_t> base;       ///< Version that was edited; 0: new.
  std::string who;
};

/// What became of a change.
struct ChangeResult
{
  std::uint64_t version = 0; ///< Of the object after the change.
  bool unchanged = false;    ///< The object already was as wanted.
  std::string diff;
};

/// Makes a change on condition of its base version and leaves an audit
/// record, whose intent is written first, so that no accepted change is
/// without one. Lost replies are settled by reading back. Fails with Conflict
/// and a detail that shows what another operator changed meanwhile.
/// Pre: the value is valid. Thread safety: loop thread.
asio::awaitable<Result<ChangeResult>>
makeChange(Loop& aLoop, coordination::ObjectClient& aClient, Change aChange);

/// The kinds of objects that operators change.
/// Pre: none. Thread safety: any thread.
bool
isOperatorKind(std::string_view aKind);

} // namespace laburnum::ctl
